package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the upstreams to probe for their current slowness.
 *
 * Where slowness changes more often than an upstream answers requests, placement has too little information. An
 * upstream whose answers report its load often enough is not probed, nor is one of a service without requests in
 * flight, and probes take only a small share of an upstream's slots. The number of probes is what the next requests
 * need to find fast upstreams: with many upstreams per service, probing all of them would cost more probes than there
 * are requests.
 *
 * @param maxPerSecond maximum rate of probes to one upstream
 */
internal class ProbeSelector(private val maxPerSecond: () -> Double) {
    /**
     * Upstreams among [rows], the upstreams of one service, to probe at [now]; limited to those for which [own] is
     * true.
     */
    fun selectDue(rows: List<UpstreamRow>, now: Duration, own: (UpstreamRow) -> Boolean = { true }): List<UpstreamRow> {
        if (rows.none { it.inFlight > 0 }) return emptyList()
        val candidates = rows.filter(own)
        val knownFast = candidates.count { isKnownFast(it, now) }
        val needed = MIN_KNOWN_FAST + KNOWN_FAST_PER_REQUEST * candidates.sumOf { it.inFlight } - knownFast
        if (needed <= 0) return emptyList()
        return candidates.filter { mayBeProbed(it, now) && now - maxOf(it.slownessAt, it.probedAt) >= interval(it) }
            .sortedWith(compareBy({ it.inFlight }, { it.slownessAt }))
            .take(needed)
    }

    /** Upstreams that limit their requests get no probes, which would take a part of their limit. */
    private fun mayBeProbed(row: UpstreamRow, now: Duration) =
        row.availability.state(now) !in UNPROBED_STATES && row.limit.perSecond == null

    private fun isKnownFast(row: UpstreamRow, now: Duration) =
        now - row.slownessAt < KNOWN_MAX_AGE && row.slowness < FAST_MAX_SLOWNESS && row.freeSlots > 0

    private fun interval(row: UpstreamRow): Duration {
        val min = maxOf(MIN_INTERVAL, 1.seconds / maxPerSecond().coerceAtLeast(MIN_PER_SECOND))
        if (row.slownessAt == -Duration.INFINITE && row.lastAnswerAt > -Duration.INFINITE) return maxOf(min, NO_REPORTS)
        return maxOf(min, row.probeDuration / (MAX_SLOT_SHARE * row.record.slots.coerceAtLeast(1)))
    }

    private companion object {
        /** The load of an upstream without work matters little, and a deferred upstream asked for no requests. */
        val UNPROBED_STATES = setOf(AvailabilityState.LEAVING, AvailabilityState.DEFERRED)

        /** Number of fast upstreams with a free slot to know of, plus some per request in flight. */
        const val MIN_KNOWN_FAST = 10
        const val KNOWN_FAST_PER_REQUEST = 1
        const val FAST_MAX_SLOWNESS = 1.5
        val KNOWN_MAX_AGE = 100.milliseconds

        /** A younger report is as good as a new one. */
        val MIN_INTERVAL = 50.milliseconds

        /** Probe interval for upstreams that answer without a slowness report. */
        val NO_REPORTS = 5.seconds

        /** Maximum share of an upstream's slots that probes may take. */
        const val MAX_SLOT_SHARE = 0.02
        const val MIN_PER_SECOND = 0.01
    }
}
