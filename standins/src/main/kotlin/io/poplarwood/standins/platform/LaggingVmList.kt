package io.poplarwood.standins.platform

import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmList
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.time.Ticker
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** VM list that returns its state of [PlatformFaults.listLagMs] ago. */
internal class LaggingVmList(private val faultInjector: FaultInjector, private val ticker: Ticker) : VmList {
    private val history = ArrayDeque(listOf(Snapshot(Duration.ZERO, emptyList())))

    override suspend fun list(): Result<List<VmRecord>, StoreFailure> = faultInjector.list {
        val cutoff = ticker.now() - faultInjector.faults.listLagMs.milliseconds
        synchronized(history) { (history.lastOrNull { it.validFrom <= cutoff } ?: history.first()).vms }
    }

    fun currentVms(): List<VmRecord> = synchronized(history) { history.last().vms }

    fun update(edit: (List<VmRecord>) -> List<VmRecord>) = synchronized(history) {
        history.addLast(Snapshot(ticker.now(), edit(history.last().vms)))
        if (history.size > MAX_SNAPSHOTS) history.removeFirst()
    }

    private class Snapshot(val validFrom: Duration, val vms: List<VmRecord>)

    private companion object {
        const val MAX_SNAPSHOTS = 1_000
    }
}
