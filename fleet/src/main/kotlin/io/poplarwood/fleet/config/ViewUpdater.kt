package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.membership.MemberTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the agreed view in step with membership.
 *
 * The present entry with the lowest name does it; two that both believe to be the one are harmless, as the view row is
 * written conditionally. A view changes only after a majority of it and of the one before is known to have it.
 */
internal class ViewUpdater(
    private val ctx: NodeContext,
    private val table: MemberTable,
    private val state: ConfigState,
    private val runRound: ((QuorumRound) -> Boolean) -> Unit,
    private val writeView: (FleetView) -> Unit,
) {
    private var desiredMembers: List<EntryRef> = emptyList()
    private var desiredSince = Duration.ZERO
    private var attemptedAt = -Duration.INFINITE

    fun tick(now: Duration) {
        if (state.applied < 0 ||
            table.present().any { it.row.state == MemberState.LIVE && it.row.ref < ctx.self }
        ) {
            return
        }
        val members = computeMembers(now)
        if (members != desiredMembers) {
            desiredMembers = members
            desiredSince = now
        }
        val current = state.view
        val due = now - desiredSince >= MIN_STABLE_TIME && now - attemptedAt >= ATTEMPT_INTERVAL
        if (!due || members.isEmpty() || members == current?.members) return
        attemptedAt = now
        if (current == null) {
            writeView(FleetView(1, members))
        } else {
            val sequence = state.viewSequence
            runRound { round ->
                round.confirms(sequence, table.endedRuns()).also { confirmed ->
                    if (confirmed) writeView(FleetView(current.version + 1, members, current.members))
                }
            }
        }
    }

    private fun computeMembers(now: Duration): List<EntryRef> {
        val present = table.present().filter { it.row.state != MemberState.LEAVING }.map { it.row.ref }
        val self = if (table.self.state == MemberState.LEAVING) emptyList() else listOf(ctx.self)
        val unreachable = state.view?.members.orEmpty().filter { ref ->
            val gone = table[ref]?.goneAt
            gone != null && now - gone < REMOVE_AFTER && table[ref]?.ended != true
        }
        return (present + self + unreachable).distinct().sorted()
    }

    private operator fun EntryRef.compareTo(other: EntryRef) = order.compare(this, other)

    private fun List<EntryRef>.sorted() = sortedWith(order)

    private companion object {
        val order = compareBy<EntryRef>({ it.id }, { it.incarnation })
        val MIN_STABLE_TIME = 1.seconds
        val ATTEMPT_INTERVAL = 2.seconds

        /** Time for which a gone entry stays in the view; it may be cut off and hold a change. */
        val REMOVE_AFTER = 30.seconds
    }
}
