package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Requests of one service that wait for a slot, most urgent first.
 *
 * Answers floods beyond what the service can carry: a request waits here only while it can still meet its aim, then it
 * takes a place in the queue of the least loaded upstream, and when every such queue is full it is refused at once.
 */
internal class SlotQueue(private val placement: Placement, private val upstreams: UpstreamTable) {
    private val waiting = ArrayList<SlotRequest>()

    val size: Int get() = waiting.size

    /** Decides about [request] now, or keeps it until [pump] can. */
    fun offer(request: SlotRequest, now: Duration) {
        val rows = upstreams.of(request.service)
        if (rows.none { it.id !in request.exclude && placement.usable(it, now) }) {
            request.decided(SlotDecision.NoUpstream)
            return
        }
        val ahead = waiting.any { it.priority <= request.priority }
        val row = if (ahead) null else placement.free(rows, request.work, request.exclude, now)
        if (row != null) return grant(request, row)
        val behind = waiting.indexOfFirst { it.priority > request.priority }
        waiting.add(if (behind < 0) waiting.size else behind, request)
        if (now >= request.offerAt) pump(now)
    }

    /** Gives out what has become free and ends waits that lasted long enough. */
    fun pump(now: Duration) {
        var index = 0
        while (index < waiting.size) {
            val request = waiting[index]
            if (request.cancelled || settle(request, now)) waiting.remove(request) else index++
        }
    }

    private fun settle(request: SlotRequest, now: Duration): Boolean {
        val rows = upstreams.of(request.service)
        val free = placement.free(rows, request.work, request.exclude, now)
        if (free != null) {
            grant(request, free)
            return true
        }
        if (now < request.offerAt) return false
        val queued = placement.queued(rows, request.work, request.exclude, now)
        val inTime = queued?.let { now + placement.expected(it, request.work, now) <= request.deadline } ?: false
        if (queued != null && inTime) grant(request, queued) else request.decided(SlotDecision.Full(drainTime(request)))
        return true
    }

    private fun grant(request: SlotRequest, row: UpstreamRow) {
        row.ownInFlight++
        request.decided(SlotDecision.Granted(row))
    }

    /** Time until what is in flight now has left as many slots free as there are requests waiting. */
    private fun drainTime(request: SlotRequest): Duration {
        val rows = upstreams.of(request.service)
        val slots = rows.sumOf { it.record.slots }.coerceAtLeast(1)
        val load = rows.sumOf { it.inFlight } + waiting.size
        return (request.work * (load.toDouble() / slots)).coerceIn(SHORTEST, LONGEST)
    }

    private companion object {
        val SHORTEST = 20.milliseconds
        val LONGEST = 2.seconds
    }
}
