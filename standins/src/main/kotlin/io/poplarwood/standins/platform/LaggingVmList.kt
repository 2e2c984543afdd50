package io.poplarwood.standins.platform

import com.github.michaelbull.result.Result
import io.poplarwood.api.platform.StoreFailure
import io.poplarwood.api.platform.VmList
import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.time.Ticker
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** List of VMs that is handed out as it was [PlatformFaults.listLagMs] ago. */
internal class LaggingVmList(private val gate: FaultInjector, private val ticker: Ticker) : VmList {
    private val history = ArrayDeque(listOf(Snapshot(Duration.ZERO, emptyList())))

    override suspend fun list(): Result<List<VmRecord>, StoreFailure> = gate.list {
        val at = ticker.now() - gate.faults.listLagMs.milliseconds
        synchronized(history) { (history.lastOrNull { it.since <= at } ?: history.first()).vms }
    }

    fun actual(): List<VmRecord> = synchronized(history) { history.last().vms }

    fun change(edit: (List<VmRecord>) -> List<VmRecord>) = synchronized(history) {
        history.addLast(Snapshot(ticker.now(), edit(history.last().vms)))
        if (history.size > HISTORY) history.removeFirst()
    }

    private class Snapshot(val since: Duration, val vms: List<VmRecord>)

    private companion object {
        const val HISTORY = 1_000
    }
}
