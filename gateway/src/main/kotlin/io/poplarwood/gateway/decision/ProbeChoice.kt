package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Which upstreams are asked how slow they are at this moment.
 *
 * Answers load where slowness changes more often than answers of the upstream come: placing then knows too little. An
 * upstream whose answers tell often enough is not asked, nor is one of a service that has no requests, and being asked
 * takes a small part of an upstream's slots at most. As many are asked as the next requests need to find quick ones; to
 * know of all would cost more questions than there are requests where a service has many upstreams.
 *
 * @param mostPerS probes of one upstream in a second
 */
internal class ProbeChoice(private val mostPerS: () -> Double) {
    /** Those of [rows], the upstreams of one service, that are to be asked at [now]; only those are that are [own]. */
    fun due(rows: List<UpstreamRow>, now: Duration, own: (UpstreamRow) -> Boolean = { true }): List<UpstreamRow> {
        if (rows.none { it.inFlight > 0 }) return emptyList()
        val asked = rows.filter(own)
        val known = asked.count { isKnownQuick(it, now) }
        val needed = LEAST_KNOWN + KNOWN_PER_REQUEST * asked.sumOf { it.inFlight } - known
        if (needed <= 0) return emptyList()
        return asked.filter { mayBeAsked(it, now) && now - maxOf(it.slownessAt, it.probedAt) >= interval(it) }
            .sortedWith(compareBy({ it.inFlight }, { it.slownessAt }))
            .take(needed)
    }

    private fun mayBeAsked(row: UpstreamRow, now: Duration) = row.availability.state(now) !in UNASKED

    private fun isKnownQuick(row: UpstreamRow, now: Duration) =
        now - row.slownessAt < KNOWN && row.slowness < QUICK && row.freeSlots > 0

    private fun interval(row: UpstreamRow): Duration {
        val least = maxOf(FRESH, 1.seconds / mostPerS().coerceAtLeast(LEAST_PER_S))
        if (row.slownessAt == -Duration.INFINITE && row.lastAnswerAt > -Duration.INFINITE) return maxOf(least, SILENT)
        return maxOf(least, row.probeTook / (SLOT_SHARE * row.record.slots.coerceAtLeast(1)))
    }

    private companion object {
        /** What an upstream tells of its load matters little while it gets no work, and some want no questions. */
        val UNASKED = setOf(AvailabilityState.LEAVING, AvailabilityState.DEFERRED)

        /** Quick upstreams with a free slot to know of at least, and more for each request in flight. */
        const val LEAST_KNOWN = 10
        const val KNOWN_PER_REQUEST = 1
        const val QUICK = 1.5
        val KNOWN = 100.milliseconds

        /** A figure that is younger than this is as good as a new one. */
        val FRESH = 50.milliseconds

        /** Upstreams that answer without telling of their slowness are asked this seldom. */
        val SILENT = 5.seconds

        /** Share of an upstream's slots that probes may take. */
        const val SLOT_SHARE = 0.02
        const val LEAST_PER_S = 0.01
    }
}
