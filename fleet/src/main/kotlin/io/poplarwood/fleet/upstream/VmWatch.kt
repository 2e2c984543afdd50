package io.poplarwood.fleet.upstream

import io.poplarwood.api.platform.VmRecord
import io.poplarwood.api.platform.VmRole
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.lease.Duties
import io.poplarwood.fleet.lease.Duty
import io.poplarwood.fleet.membership.MemberTable
import io.poplarwood.fleet.recovery.Backoff
import io.poplarwood.fleet.store.StoreAnswer
import io.poplarwood.fleet.store.StoreOperation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the VM list: two entries often, the others seldom, as these hear of changes from the two. */
internal class VmWatch(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val found: (List<VmRecord>) -> Unit,
) {
    private val backoff = Backoff(ctx.random)
    private var reading = false
    private var nextAt = Duration.ZERO

    fun tick(now: Duration) {
        if (reading || now < nextAt) return
        reading = true
        ctx.store(StoreOperation.ListVms) { answer ->
            reading = false
            if (answer is StoreAnswer.Vms) {
                backoff.succeeded()
                nextAt = ctx.now + pause() * (JITTER_FROM + (1 - JITTER_FROM) * ctx.random.nextDouble())
                found(answer.records)
            } else {
                nextAt = ctx.now + backoff.failed()
            }
        }
    }

    private fun pause(): Duration {
        val present = table.present().map { it.row.ref } + ctx.self
        return if (ctx.self in Duties.holders(Duty.VM_LIST, present, HOLDERS)) OFTEN else SELDOM
    }

    companion object {
        /** Peer listeners of the entries in [records]. */
        fun entries(records: List<VmRecord>): List<String> =
            records.filter { it.role == VmRole.ENTRY }.map { it.address }

        private const val HOLDERS = 2
        private const val JITTER_FROM = 0.8
        private val OFTEN = 1.seconds
        private val SELDOM = 10.seconds
    }
}
