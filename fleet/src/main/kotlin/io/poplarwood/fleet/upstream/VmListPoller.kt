package io.poplarwood.fleet.upstream

import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.lease.Duties
import io.poplarwood.fleet.lease.Duty
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreOperation
import io.poplarwood.fleet.store.StoreResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Polls the VM list: [READERS] entries at short intervals; the others rarely, as they receive changes from these. */
internal class VmListPoller(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val onList: (List<VmRecord>) -> Unit,
) {
    private val backoff = Backoff(ctx.random)
    private var reading = false
    private var nextAt = Duration.ZERO

    fun tick(now: Duration) {
        if (reading || now < nextAt) return
        reading = true
        ctx.perform(StoreOperation.ListVms) { result ->
            reading = false
            if (result is StoreResult.Vms) {
                backoff.reset()
                nextAt = ctx.now + interval() * (MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * ctx.random.nextDouble())
                onList(result.records)
            } else {
                nextAt = ctx.now + backoff.recordFailure()
            }
        }
    }

    private fun interval(): Duration {
        val present = table.present().map { it.row.ref } + ctx.self
        return if (ctx.self in Duties.holders(Duty.VM_LIST, present, READERS)) READER_INTERVAL else DEFAULT_INTERVAL
    }

    companion object {
        /** Peer listener addresses of the entries in [records]. */
        fun peerAddresses(records: List<VmRecord>): List<String> =
            records.filter { it.role == VmRole.ENTRY }.map { it.address }

        private const val READERS = 2
        private const val MIN_JITTER_FACTOR = 0.8
        private val READER_INTERVAL = 1.seconds
        private val DEFAULT_INTERVAL = 10.seconds
    }
}
