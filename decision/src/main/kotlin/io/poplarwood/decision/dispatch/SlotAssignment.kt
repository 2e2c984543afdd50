package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.PendingCall
import io.poplarwood.decision.admission.SlotAccount
import io.poplarwood.decision.explain.AdmittedBy
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.Router
import kotlin.time.Duration

/**
 * Assigns free slots to waiting calls: first to classes below their guaranteed share, then by rank, then by waiting
 * time.
 *
 * A call that cannot use a free slot, because it excludes upstreams or must run alone, does not block the others.
 *
 * @param holdIfSuspect removes a call that may not run now from its queue; returns true if it did
 */
internal class SlotAssignment(
    private val router: Router,
    private val account: SlotAccount,
    private val ticker: Ticker,
    private val holdIfSuspect: (PendingCall) -> Boolean,
) {
    /**
     * Runs until no waiting call can get a slot. A call has left its queue when [granted] or [noUpstream] is called for
     * it.
     */
    fun assign(
        queues: Collection<ClassQueue>,
        granted: (SlotGrant) -> Unit,
        noUpstream: (PendingCall) -> Unit,
    ) {
        val open = queues.filterTo(ArrayList(queues.size)) { it.calls.isNotEmpty() }
        while (open.isNotEmpty()) {
            val queue = open.minWith(ORDER)
            val more = !blocked(queue) && assignOne(queue, granted, noUpstream)
            if (!more || queue.calls.isEmpty()) open.remove(queue)
        }
    }

    /** Counts by rank the calls that another slot would help. A class below its guaranteed share counts as urgent. */
    fun countWaiting(queues: Collection<ClassQueue>, waiting: IntArray) {
        waiting.fill(0)
        for (queue in queues) {
            waiting[effectiveRank(queue).ordinal] += account.demand(queue)
        }
    }

    private fun blocked(queue: ClassQueue): Boolean =
        account.atSlotLimit(queue) || (!queue.belowShare && account.reservedFor(queue.spec.rank))

    /** Assigns one slot or removes one call; returns false when the class gets no further slot now. */
    private fun assignOne(
        queue: ClassQueue,
        granted: (SlotGrant) -> Unit,
        noUpstream: (PendingCall) -> Unit,
    ): Boolean {
        for (index in 0 until minOf(queue.calls.size, MAX_EXAMINED)) {
            val pending = queue.calls[index]
            if (holdIfSuspect(pending)) return true
            when (
                val reservation =
                    router.reserve(RouteRequest(effectiveRank(queue), excludedUpstreams(pending), pending.alone))
            ) {
                is Reservation.Granted -> {
                    val by = if (queue.belowShare) AdmittedBy.KEPT_SHARE else AdmittedBy.RANK
                    queue.calls.removeAt(index)
                    granted(startAttempt(pending, reservation, by))
                    return true
                }
                Reservation.NoUpstream -> {
                    queue.calls.removeAt(index)
                    noUpstream(pending)
                    return true
                }
                Reservation.Overloaded -> if (pending.tried.isEmpty() && !pending.alone) return false
            }
        }
        return false
    }

    private fun startAttempt(pending: PendingCall, reservation: Reservation.Granted, by: AdmittedBy): SlotGrant {
        pending.slot = reservation.slot
        pending.history.recordStart()
        account.recordDispatch(pending, ticker.now())
        return SlotGrant(pending, reservation.upstream, reservation.considered, by)
    }

    /** The upstreams tried last, but never all of them, so that a service with one upstream may try it again. */
    private fun excludedUpstreams(pending: PendingCall): List<UpstreamId> {
        if (pending.tried.isEmpty()) return emptyList()
        return pending.tried.takeLast(minOf(MAX_EXCLUDED, account.usableUpstreams - 1).coerceAtLeast(0))
    }

    private fun effectiveRank(queue: ClassQueue): Rank = if (queue.belowShare) Rank.URGENT else queue.spec.rank

    private companion object {
        /** Calls of one class examined for one free slot. */
        const val MAX_EXAMINED = 16
        const val MAX_EXCLUDED = 4

        val ORDER =
            compareBy<ClassQueue>({ !it.belowShare }, { it.spec.rank }, { it.oldestQueuedAt() ?: Duration.ZERO })
    }
}
