package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import io.poplarwood.fleet.NodeContext
import io.poplarwood.fleet.membership.MemberState
import io.poplarwood.fleet.membership.MemberTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Updates the agreed view after changes of membership.
 *
 * The live entry with the lowest reference is responsible. Two entries that both consider themselves responsible do no
 * harm, because the view row is written conditionally. A view is replaced only after a majority of its members and of
 * the previous members is known to have it in force.
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

    /** An entry that is leaving stays a member until it ends, since it still accepts requests of its last callers. */
    private fun computeMembers(now: Duration): List<EntryRef> {
        val present = table.present().map { it.row.ref }
        val self = if (table.self.state == MemberState.GONE) emptyList() else listOf(ctx.self)
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

        /** Time for which the membership must not have changed before the view is updated. */
        val MIN_STABLE_TIME = 1.seconds
        val ATTEMPT_INTERVAL = 2.seconds

        /** Time for which a gone entry stays in the view; it may only be cut off, and may hold an accepted change. */
        val REMOVE_AFTER = 30.seconds
    }
}
