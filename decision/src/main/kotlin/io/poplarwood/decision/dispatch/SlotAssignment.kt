package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.SlotAccount
import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.explain.AdmittedBy
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.Router
import kotlin.time.Duration

/**
 * Gives free slots to waiting calls: classes below their kept share first, then by rank, then by waiting time.
 *
 * A call that cannot use a free slot, because it excludes upstreams or must run alone, does not hold up the others.
 *
 * @param hold takes a call that may not run now out of its queue; true when it did
 */
internal class SlotAssignment(
    private val router: Router,
    private val account: SlotAccount,
    private val ticker: Ticker,
    private val hold: (WaitingCall) -> Boolean,
) {
    /** Runs until no waiting call can get a slot; the callbacks see each call after it left its queue. */
    fun assign(
        queues: Collection<ClassQueue>,
        granted: (SlotGrant) -> Unit,
        noUpstream: (WaitingCall) -> Unit,
    ) {
        val open = queues.filterTo(ArrayList(queues.size)) { it.calls.isNotEmpty() }
        while (open.isNotEmpty()) {
            val queue = open.minWith(ORDER)
            val more = !blocked(queue) && assignOne(queue, granted, noUpstream)
            if (!more || queue.calls.isEmpty()) open.remove(queue)
        }
    }

    /** Counts the calls that another slot would help; a class below its share borrows slots like urgent work. */
    fun countWaiting(queues: Collection<ClassQueue>, waiting: IntArray) {
        waiting.fill(0)
        for (q in queues) {
            waiting[rankFor(q).ordinal] += account.demand(q)
        }
    }

    private fun blocked(queue: ClassQueue): Boolean =
        account.atSlotBound(queue) || (!queue.belowShare && account.reservedFor(queue.spec.rank))

    /** False when the class gets no further slot now. */
    private fun assignOne(
        queue: ClassQueue,
        granted: (SlotGrant) -> Unit,
        noUpstream: (WaitingCall) -> Unit,
    ): Boolean {
        for (at in 0 until minOf(queue.calls.size, MOST_SKIPPED)) {
            val row = queue.calls[at]
            if (hold(row)) return true
            when (val answer = router.reserve(RouteRequest(rankFor(queue), excluded(row), row.alone))) {
                is Reservation.Granted -> {
                    val by = if (queue.belowShare) AdmittedBy.KEPT_SHARE else AdmittedBy.RANK
                    queue.calls.removeAt(at)
                    granted(take(row, answer, by))
                    return true
                }
                Reservation.NoUpstream -> {
                    queue.calls.removeAt(at)
                    noUpstream(row)
                    return true
                }
                Reservation.Full -> if (row.tried.isEmpty() && !row.alone) return false
            }
        }
        return false
    }

    private fun take(row: WaitingCall, answer: Reservation.Granted, by: AdmittedBy): SlotGrant {
        row.slot = answer.slot
        row.history.started()
        account.dispatched(row, ticker.now())
        return SlotGrant(row, answer.upstream, answer.considered, by)
    }

    /** The latest tried upstreams, but never all: a service with one upstream may try it again. */
    private fun excluded(row: WaitingCall): List<UpstreamId> {
        if (row.tried.isEmpty()) return emptyList()
        return row.tried.takeLast(minOf(MOST_EXCLUDED, account.upstreams - 1).coerceAtLeast(0))
    }

    private fun rankFor(queue: ClassQueue): Rank = if (queue.belowShare) Rank.URGENT else queue.spec.rank

    private companion object {
        /** Calls of one class looked at for one free slot. */
        const val MOST_SKIPPED = 16
        const val MOST_EXCLUDED = 4

        val ORDER = compareBy<ClassQueue>({ !it.belowShare }, { it.spec.rank }, { it.heldSince() ?: Duration.ZERO })
    }
}
