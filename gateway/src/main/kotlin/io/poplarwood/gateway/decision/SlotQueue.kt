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
    private val grants = SlidingCount(RATE_SPAN)

    /** Since when requests have waited, with short breaks at most, and when some waited last. */
    private var pressedSince = -Duration.INFINITE
    private var pressedAt = -Duration.INFINITE

    val size: Int get() = waiting.size

    /** Decides about [request] now, or keeps it until [pump] can. */
    fun offer(request: SlotRequest, now: Duration) {
        val rows = upstreams.of(request.service)
        notePressure(now)
        when {
            settleWithoutUpstream(request, rows, now) -> Unit
            waiting.isEmpty() && settle(request, rows, now) -> Unit
            overloads(request, now) && now + ownQueueTime(request, now) + loaded(request, rows) > request.aim ->
                request.decided(SlotDecision.Full(drainTime(request, rows)))
            now + queueTime(request, rows, now) + request.job.work > request.deadline ->
                request.decided(SlotDecision.Full(drainTime(request, rows)))
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
                !it.canMeetAim(now)
            }.thenBy { it.priority }.thenBy { orderOf(it, now) },
        )
        waiting.removeIf { settleWithoutUpstream(it, rows, now) || settle(it, rows, now) }
        notePressure(now)
        waiting.removeIf { overloads(it, now) && refuseLate(it, rows, now) }
    }

    private fun notePressure(now: Duration) {
        if (waiting.isNotEmpty()) pressedAt = now
        if (now - pressedAt > CALM) pressedSince = now
    }

    /** Whether requests have waited without a break for a good part of the time that [request] could wait. */
    private fun overloads(request: SlotRequest, now: Duration) =
        now - pressedAt <= CALM && now - pressedSince > (request.aim - request.arrived) * PRESSED_SHARE

    private fun refuseLate(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        if (now + loaded(request, rows) <= request.aim) return false
        request.decided(SlotDecision.Full(drainTime(request, rows)))
        return true
    }

    /** Time that [request] takes at an upstream that holds as much as it finishes most with. */
    private fun loaded(request: SlotRequest, rows: List<UpstreamRow>): Duration {
        val row = rows.firstOrNull() ?: return request.job.work
        return request.job.work * placement.loadedFactor(row)
    }

    /** Time until those that go before [request] have got their slots, at the pace at which this entry gets them. */
    private fun ownQueueTime(request: SlotRequest, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetAim(now) }
        if (ahead == 0) return Duration.ZERO
        return RATE_SPAN * (ahead.toDouble() / grants.sum(now).coerceAtLeast(1))
    }

    /** Refuses all that wait; the entry is about to end. */
    fun refuseAll() {
        val all = waiting.toList()
        waiting.clear()
        all.filter { !it.cancelled }.forEach { it.decided(SlotDecision.Full(SHORTEST)) }
    }

    /** On-time requests by their aim; late ones the newest first, since the oldest are nearest to their deadline. */
    private fun orderOf(request: SlotRequest, now: Duration): Duration =
        if (request.canMeetAim(now)) request.aim else -request.arrived

    /** Refuses [request] if no upstream may get work before it would miss its aim. */
    private fun settleWithoutUpstream(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        if (rows.any { it.id !in request.exclude && placement.usable(it, now) }) return false
        val from = placement.usableFrom(rows, request.exclude, now)
        if (from != null && from > now && from + request.job.work <= request.aim) return false
        request.decided(SlotDecision.NoUpstream(from?.takeIf { it > now }?.let { it - now }))
        return true
    }

    /** Decides about [request] if that can be done now. */
    private fun settle(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        val free = placement.free(rows, request.job, request.exclude, now)
        if (free != null && suits(request, free, now)) {
            free.ownInFlight++
            grants.add(now)
            request.decided(SlotDecision.Granted(free))
            return true
        }
        if (!request.isSpent(now)) return false
        request.decided(SlotDecision.Full(drainTime(request, rows)))
        return true
    }

    /** A request that can still meet its aim elsewhere does not take an upstream that would miss it. */
    private fun suits(request: SlotRequest, row: UpstreamRow, now: Duration): Boolean {
        val answered = now + placement.expected(row, request.job, now)
        return answered <= request.aim || (!request.canMeetAim(now) && answered <= request.deadline) ||
            now > request.arrived + (request.aim - request.arrived) * HOPE_SHARE
    }

    /** Time until the requests that go before [request] have got their slots. */
    private fun queueTime(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetAim(now) }
        return request.job.work * (ahead.toDouble() / placement.capacity(rows, now).coerceAtLeast(1))
    }

    /** Time until what is in flight and waits now has left. */
    private fun drainTime(request: SlotRequest, rows: List<UpstreamRow>): Duration {
        val slots = rows.sumOf { it.record.slots }.coerceAtLeast(1)
        val load = rows.sumOf { it.inFlight } + waiting.size
        return (request.job.work * (load.toDouble() / slots)).coerceIn(SHORTEST, LONGEST)
    }

    private companion object {
        /** Share of the time to its aim for which a request holds out for an upstream that would meet it. */
        const val HOPE_SHARE = 0.4

        /** Share of the time to its aim for which others have waited when a request finds the service overloaded. */
        const val PRESSED_SHARE = 0.5

        /** Span over which the pace of this entry's grants is measured. */
        val RATE_SPAN = 500.milliseconds

        /** A queue that was empty for this long is no longer pressed. */
        val CALM = 50.milliseconds
        val SHORTEST = 20.milliseconds
        val LONGEST = 2.seconds
    }
}
