package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Requests of one service that wait for a slot.
 *
 * Answers floods beyond what the service can carry. Requests that can still meet their aim go first, by rank and then
 * by aim; one that cannot any more takes only a slot that they leave, the newest first, so that a flood makes some
 * requests late rather than all. A request that would not be served in time even so is refused on arrival.
 *
 * Where requests have waited for half as long as one could wait itself, the service is overloaded: what could not meet
 * its aim at an upstream that is as full as it should be is refused at once, since each slot that it took would make
 * another one late. How long a wait will be follows from the pace at which this entry gets slots, which other entries
 * want too.
 */
internal class SlotQueue(private val placement: Placement, private val upstreams: UpstreamTable) {
    private val waiting = ArrayList<SlotRequest>()
    private val grants = SlidingCount(GRANT_RATE_WINDOW)

    /** Since when requests have waited, with short breaks at most, and when some waited last. */
    private var queuedSince = -Duration.INFINITE
    private var lastQueuedAt = -Duration.INFINITE

    val size: Int get() = waiting.size

    /** Decides about [request] now, or keeps it until [pump] can. */
    fun offer(request: SlotRequest, now: Duration) {
        val rows = upstreams.of(request.service)
        updateQueueingPeriod(now)
        when {
            refuseWithoutUpstream(request, rows, now) -> Unit
            waiting.isEmpty() && tryDecide(request, rows, now) -> Unit
            isOverloaded(request, now) &&
                now + delayAtGrantRate(request, now) + saturatedTime(request, rows) > request.aim ->
                request.onDecision(SlotDecision.Full(drainTime(request, rows)))
            now + delayAtCapacity(request, rows, now) + request.job.work > request.deadline ->
                request.onDecision(SlotDecision.Full(drainTime(request, rows)))
            else -> {
                waiting += request
                if (waiting.size > 1) pump(now)
            }
        }
    }

    /** Gives out what has become free and ends waits that lasted long enough. */
    fun pump(now: Duration) {
        waiting.removeIf { it.cancelled }
        if (waiting.isEmpty()) return
        val rows = upstreams.of(waiting.first().service)
        waiting.sortWith(
            compareBy<SlotRequest> {
                !it.canMeetTarget(now)
            }.thenBy { it.priority }.thenBy { orderKey(it, now) },
        )
        waiting.removeIf { refuseWithoutUpstream(it, rows, now) || tryDecide(it, rows, now) }
        updateQueueingPeriod(now)
        waiting.removeIf { isOverloaded(it, now) && refuseIfLate(it, rows, now) }
    }

    private fun updateQueueingPeriod(now: Duration) {
        if (waiting.isNotEmpty()) lastQueuedAt = now
        if (now - lastQueuedAt > MAX_QUEUE_GAP) queuedSince = now
    }

    /** Whether requests have waited without a break for a good part of the time that [request] could wait. */
    private fun isOverloaded(request: SlotRequest, now: Duration) =
        now - lastQueuedAt <= MAX_QUEUE_GAP && now - queuedSince > (request.aim - request.arrived) * OVERLOAD_SHARE

    private fun refuseIfLate(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        if (now + saturatedTime(request, rows) <= request.aim) return false
        request.onDecision(SlotDecision.Full(drainTime(request, rows)))
        return true
    }

    /** Time that [request] takes at an upstream that holds as much as it finishes most with. */
    private fun saturatedTime(request: SlotRequest, rows: List<UpstreamRow>): Duration {
        val row = rows.firstOrNull() ?: return request.job.work
        return request.job.work * placement.saturatedLoadFactor(row)
    }

    /** Time until those that go before [request] have got their slots, at the pace at which this entry gets them. */
    private fun delayAtGrantRate(request: SlotRequest, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetTarget(now) }
        if (ahead == 0) return Duration.ZERO
        return GRANT_RATE_WINDOW * (ahead.toDouble() / grants.sum(now).coerceAtLeast(1))
    }

    /** Refuses all that wait; the entry is about to end. */
    fun refuseAll() {
        val all = waiting.toList()
        waiting.clear()
        all.filter { !it.cancelled }.forEach { it.onDecision(SlotDecision.Full(MIN_RETRY_AFTER)) }
    }

    /** On-time requests by their aim; late ones the newest first, since the oldest are nearest to their deadline. */
    private fun orderKey(request: SlotRequest, now: Duration): Duration =
        if (request.canMeetTarget(now)) request.aim else -request.arrived

    /** Refuses [request] if no upstream may get work before it would miss its aim. */
    private fun refuseWithoutUpstream(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        if (rows.any { it.id !in request.exclude && placement.isUsable(it, now) }) return false
        val usableAt = placement.usableFrom(rows, request.exclude, now)
        if (usableAt != null && usableAt > now && usableAt + request.job.work <= request.aim) return false
        request.onDecision(SlotDecision.NoUpstream(usableAt?.takeIf { it > now }?.let { it - now }))
        return true
    }

    /** Decides about [request] if that can be done now. */
    private fun tryDecide(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        val row = placement.free(rows, request.job, request.exclude, now)
        if (row != null && isAcceptable(request, row, now)) {
            row.ownInFlight++
            grants.add(now)
            request.onDecision(SlotDecision.Granted(row))
            return true
        }
        if (!request.hasWaitedTooLong(now)) return false
        request.onDecision(SlotDecision.Full(drainTime(request, rows)))
        return true
    }

    /** A request that can still meet its aim elsewhere does not take an upstream that would miss it. */
    private fun isAcceptable(request: SlotRequest, row: UpstreamRow, now: Duration): Boolean {
        val answeredAt = now + placement.expectedLatency(row, request.job, now)
        return answeredAt <= request.aim || (!request.canMeetTarget(now) && answeredAt <= request.deadline) ||
            now > request.arrived + (request.aim - request.arrived) * SELECTIVE_SHARE
    }

    /** Time until the requests that go before [request] have got their slots. */
    private fun delayAtCapacity(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetTarget(now) }
        return request.job.work * (ahead.toDouble() / placement.capacity(rows, now).coerceAtLeast(1))
    }

    /** Time until what is in flight and waits now has left. */
    private fun drainTime(request: SlotRequest, rows: List<UpstreamRow>): Duration {
        val slots = rows.sumOf { it.record.slots }.coerceAtLeast(1)
        val load = rows.sumOf { it.inFlight } + waiting.size
        return (request.job.work * (load.toDouble() / slots)).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    private companion object {
        /** Share of the time to its aim for which a request holds out for an upstream that would meet it. */
        const val SELECTIVE_SHARE = 0.4

        /** Share of the time to its aim for which others have waited when a request finds the service overloaded. */
        const val OVERLOAD_SHARE = 0.5

        /** Span over which the pace of this entry's grants is measured. */
        val GRANT_RATE_WINDOW = 500.milliseconds

        /** A queue that was empty for this long is no longer pressed. */
        val MAX_QUEUE_GAP = 50.milliseconds
        val MIN_RETRY_AFTER = 20.milliseconds
        val MAX_RETRY_AFTER = 2.seconds
    }
}
