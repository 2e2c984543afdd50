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
 * @param maxPerSecond probes of one upstream in a second
 */
internal class ProbeChoice(private val maxPerSecond: () -> Double) {
    /** Those of [rows], the upstreams of one service, that are to be asked at [now]; only those are that are [own]. */
    fun due(rows: List<UpstreamRow>, now: Duration, own: (UpstreamRow) -> Boolean = { true }): List<UpstreamRow> {
        if (rows.none { it.inFlight > 0 }) return emptyList()
        val candidates = rows.filter(own)
        val knownFast = candidates.count { isKnownFast(it, now) }
        val needed = MIN_KNOWN_FAST + KNOWN_FAST_PER_REQUEST * candidates.sumOf { it.inFlight } - knownFast
        if (needed <= 0) return emptyList()
        return candidates.filter { mayBeProbed(it, now) && now - maxOf(it.slownessAt, it.probedAt) >= interval(it) }
            .sortedWith(compareBy({ it.inFlight }, { it.slownessAt }))
            .take(needed)
    }

    private fun mayBeProbed(row: UpstreamRow, now: Duration) = row.availability.state(now) !in UNPROBED_STATES

    private fun isKnownFast(row: UpstreamRow, now: Duration) =
        now - row.slownessAt < KNOWN_MAX_AGE && row.slowness < FAST_MAX_SLOWNESS && row.freeSlots > 0

    private fun interval(row: UpstreamRow): Duration {
        val min = maxOf(MIN_INTERVAL, 1.seconds / maxPerSecond().coerceAtLeast(MIN_PER_SECOND))
        if (row.slownessAt == -Duration.INFINITE && row.lastAnswerAt > -Duration.INFINITE) return maxOf(min, NO_REPORTS)
        return maxOf(min, row.probeTook / (MAX_SLOT_SHARE * row.record.slots.coerceAtLeast(1)))
    }

    private companion object {
        /** What an upstream tells of its load matters little while it gets no work, and some want no questions. */
        val UNPROBED_STATES = setOf(AvailabilityState.LEAVING, AvailabilityState.DEFERRED)

        /** Quick upstreams with a free slot to know of at least, and more for each request in flight. */
        const val MIN_KNOWN_FAST = 10
        const val KNOWN_FAST_PER_REQUEST = 1
        const val FAST_MAX_SLOWNESS = 1.5
        val KNOWN_MAX_AGE = 100.milliseconds

        /** A figure that is younger than this is as good as a new one. */
        val MIN_INTERVAL = 50.milliseconds

        /** Upstreams that answer without telling of their slowness are asked this seldom. */
        val NO_REPORTS = 5.seconds

        /** Share of an upstream's slots that probes may take. */
        const val MAX_SLOT_SHARE = 0.02
        const val MIN_PER_SECOND = 0.01
    }
}
