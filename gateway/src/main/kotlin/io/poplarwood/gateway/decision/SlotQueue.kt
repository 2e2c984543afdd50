package io.poplarwood.gateway.decision

import io.poplarwood.gateway.counter.SlidingWindowCounter
import io.poplarwood.gateway.limit.UpstreamPermits
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Queue of the requests for one service that wait for a slot.
 *
 * When more requests arrive than the service can serve, those that can still meet their target time go first, by rank
 * and then by target time. A request that can no longer meet its target time only takes a slot that these leave, the
 * newest first, so that an overload delays some requests instead of all. A request that would miss its deadline even so
 * is refused on arrival.
 *
 * A service counts as overloaded for a request when requests have been queued for half of the time that the request
 * itself may wait. A request that could not meet its target time at an upstream at its concurrency limit is then
 * refused at once, because its slot would make another request late. The queueing delay is estimated from the rate at
 * which this entry obtains slots, since other entries compete for them.
 *
 * An upstream that names a rate limit is only used with a permit. While all usable upstreams name one, a request waits
 * for a permit if one is expected in time for its target, and is refused at once otherwise.
 */
internal class SlotQueue(
    private val placement: Placement,
    private val upstreams: UpstreamTable,
    private val permits: UpstreamPermits = UpstreamPermits(),
) {
    private val waiting = ArrayList<SlotRequest>()
    private val grants = SlidingWindowCounter(GRANT_RATE_WINDOW)

    /**
     * Start of the current queueing period, in which the queue was empty for at most [MAX_QUEUE_GAP] at a time, and the
     * last time at which the queue was not empty.
     */
    private var queuedSince = -Duration.INFINITE
    private var lastQueuedAt = -Duration.INFINITE

    val size: Int get() = waiting.size

    /** Decides about [request] now, or queues it until [pump] decides. */
    fun offer(request: SlotRequest, now: Duration) {
        val rows = upstreams.of(request.service)
        updateQueueingPeriod(now)
        askForPermit(request, rows, now)
        when {
            refuseWithoutUpstream(request, rows, waiting.size, now) -> Unit
            waiting.isEmpty() && tryDecide(request, rows, now) -> Unit
            isOverloaded(request, now) &&
                now + delayAtGrantRate(request, now) + saturatedTime(request, rows) > request.targetTime ->
                request.onDecision(SlotDecision.Overloaded(drainTime(request, rows, now)))
            now + delayAtCapacity(request, rows, now) + request.job.serviceTime > request.deadline ->
                request.onDecision(SlotDecision.Overloaded(drainTime(request, rows, now)))
            else -> {
                waiting += request
                if (waiting.size > 1) dispatch(now)
            }
        }
    }

    /** Grants free slots to queued requests and refuses those that have waited too long. */
    fun dispatch(now: Duration) {
        waiting.removeIf { it.cancelled }
        if (waiting.isEmpty()) return
        val rows = upstreams.of(waiting.first().service)
        waiting.sortWith(
            compareBy<SlotRequest> {
                !it.canMeetTarget(now)
            }.thenBy { it.priority }.thenBy { it.relayed }.thenBy { orderKey(it, now) },
        )
        askForPermit(waiting.first(), rows, now)
        var ahead = 0
        waiting.removeIf { request ->
            val decided = refuseWithoutUpstream(request, rows, ahead, now) || tryDecide(request, rows, now)
            if (!decided) ahead++
            decided
        }
        updateQueueingPeriod(now)
        waiting.removeIf { isOverloaded(it, now) && refuseIfLate(it, rows, now) }
    }

    private fun updateQueueingPeriod(now: Duration) {
        if (waiting.isNotEmpty()) lastQueuedAt = now
        if (now - lastQueuedAt > MAX_QUEUE_GAP) queuedSince = now
    }

    /** Whether requests have been queued without a gap for a large share of the time that [request] may wait. */
    private fun isOverloaded(request: SlotRequest, now: Duration) =
        now - lastQueuedAt <= MAX_QUEUE_GAP &&
            now - queuedSince > (request.targetTime - request.arrivedAt) * OVERLOAD_SHARE

    private fun refuseIfLate(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        if (now + saturatedTime(request, rows) <= request.targetTime) return false
        request.onDecision(SlotDecision.Overloaded(drainTime(request, rows, now)))
        return true
    }

    /** Service time of [request] at an upstream at its concurrency limit. */
    private fun saturatedTime(request: SlotRequest, rows: List<UpstreamRow>): Duration {
        val row = rows.firstOrNull() ?: return request.job.serviceTime
        return request.job.serviceTime * placement.saturatedLoadFactor(row)
    }

    /** Queueing delay of [request] at the rate at which this entry obtains slots. */
    private fun delayAtGrantRate(request: SlotRequest, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetTarget(now) }
        if (ahead == 0) return Duration.ZERO
        return GRANT_RATE_WINDOW * (ahead.toDouble() / grants.sum(now).coerceAtLeast(1))
    }

    /** Refuses all queued requests, because the entry is stopping. */
    fun refuseAll() {
        val all = waiting.toList()
        waiting.clear()
        all.filter { !it.cancelled }.forEach { it.onDecision(SlotDecision.Overloaded(MIN_RETRY_AFTER)) }
    }

    /**
     * Sort key: the target time of requests that can meet it; otherwise the newest first, since the oldest are nearest
     * to their deadline.
     */
    private fun orderKey(request: SlotRequest, now: Duration): Duration =
        if (request.canMeetTarget(now)) request.targetTime else -request.arrivedAt

    private fun askForPermit(request: SlotRequest, rows: List<UpstreamRow>, now: Duration) {
        if (rows.none(permits::isLimited)) return
        val usable = rows.filter { permits.isLimited(it) && isUsable(it, request, now) && placement.hasCapacity(it) }
        permits.askForOne(usable, request.priority, now)
    }

    private fun isUsable(row: UpstreamRow, request: SlotRequest, now: Duration) =
        row.id !in request.exclude && placement.isUsable(row, now)

    /**
     * Refuses [request] if no upstream may receive work before the request would miss its target time. [ahead] is the
     * number of requests that are served before.
     */
    private fun refuseWithoutUpstream(
        request: SlotRequest,
        rows: List<UpstreamRow>,
        ahead: Int,
        now: Duration,
    ): Boolean {
        if (rows.any { isUsable(it, request, now) && permits.maySend(it, request.priority, now) }) return false
        val usable = rows.filter { isUsable(it, request, now) }
        if (usable.isNotEmpty()) return refuseWithoutPermit(request, usable, ahead, now)
        val usableAt = placement.earliestUsableAt(rows, request.exclude, now)
        if (usableAt != null && usableAt > now && usableAt + request.job.serviceTime <= request.targetTime) return false
        request.onDecision(SlotDecision.NoUpstream(usableAt?.takeIf { it > now }?.let { it - now }))
        return true
    }

    private fun refuseWithoutPermit(
        request: SlotRequest,
        rows: List<UpstreamRow>,
        ahead: Int,
        now: Duration,
    ): Boolean {
        val permitAt = permits.expectedAt(rows, ahead, now)
        if (permitAt + request.job.serviceTime <= request.targetTime) return false
        request.onDecision(SlotDecision.RateLimited((permitAt - now).coerceAtLeast(MIN_RETRY_AFTER)))
        return true
    }

    /** Decides about [request] if a decision is possible now. */
    private fun tryDecide(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Boolean {
        val row = selectPermitted(request, rows, now)
            ?: placement.selectUpstream(rows, request.job, request.exclude, now) {
                permits.maySend(it, request.priority, now)
            }
        if (row != null && isAcceptable(request, row, now)) {
            row.ownInFlight++
            permits.recordSend(row, request.priority, now)
            grants.add(now)
            request.onDecision(SlotDecision.Granted(row))
            return true
        }
        if (!request.hasWaitedTooLong(now)) return false
        request.onDecision(SlotDecision.Overloaded(drainTime(request, rows, now)))
        return true
    }

    /**
     * An upstream for which this entry holds a permit and which would answer [request] before its target time. It is
     * preferred to faster ones, because the permit lapses.
     */
    private fun selectPermitted(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): UpstreamRow? {
        if (rows.none(permits::isLimited)) return null
        val row = placement.selectUpstream(rows, request.job, request.exclude, now) {
            permits.isLimited(it) && permits.maySend(it, request.priority, now)
        }
        return row?.takeIf { now + placement.expectedLatency(it, request.job, now) <= request.targetTime }
    }

    /**
     * Whether [request] takes a slot at [row]. A request that can still meet its target time elsewhere does not go to
     * an upstream that would miss it.
     */
    private fun isAcceptable(request: SlotRequest, row: UpstreamRow, now: Duration): Boolean {
        val answeredAt = now + placement.expectedLatency(row, request.job, now)
        return answeredAt <= request.targetTime || (!request.canMeetTarget(now) && answeredAt <= request.deadline) ||
            now > request.arrivedAt + (request.targetTime - request.arrivedAt) * SELECTIVE_SHARE
    }

    /** Queueing delay of [request] at the capacity of all usable upstreams. */
    private fun delayAtCapacity(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Duration {
        val ahead = waiting.count { it.priority <= request.priority && it.canMeetTarget(now) }
        return request.job.serviceTime * (ahead.toDouble() / capacity(request, rows, now).coerceAtLeast(1))
    }

    private fun capacity(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Int =
        placement.capacity(rows.filter { permits.maySend(it, request.priority, now) }, now)

    /** Time until the usable upstreams have served the requests that are now in flight there or queued. */
    private fun drainTime(request: SlotRequest, rows: List<UpstreamRow>, now: Duration): Duration {
        val usable = rows.filter { placement.isUsable(it, now) }
        val slots = usable.sumOf { it.record.slots }.coerceAtLeast(1)
        val load = usable.sumOf { it.inFlight } + waiting.size
        return (request.job.serviceTime * (load.toDouble() / slots)).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    private companion object {
        /** Share of the time to its target for which a request waits for an upstream that would meet the target. */
        const val SELECTIVE_SHARE = 0.4

        /**
         * Share of the time to its target for which other requests were queued when the service counts as overloaded.
         */
        const val OVERLOAD_SHARE = 0.5

        /** Window over which the rate of this entry's grants is measured. */
        val GRANT_RATE_WINDOW = 500.milliseconds

        /** A queue that was empty for longer ends the queueing period. */
        val MAX_QUEUE_GAP = 50.milliseconds
        val MIN_RETRY_AFTER = 20.milliseconds
        val MAX_RETRY_AFTER = 2.seconds
    }
}
