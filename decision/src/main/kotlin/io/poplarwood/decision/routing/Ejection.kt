package io.poplarwood.decision.routing

import io.poplarwood.decision.limits.Ramp

/**
 * Ejects upstreams that fail or are far slower than their peers, and returns them to service through a ramp.
 *
 * @param rampMicros length of the ramp in microseconds
 * @param onRowChanged called with each row whose state changes
 */
internal class Ejection(
    private val rows: UpstreamTable,
    private val latencies: LatencyStatistics,
    private val rampMicros: Long,
    private val onRowChanged: (Int) -> Unit,
) {
    /** Stops new ejections; upstreams that are ejected already still return. */
    var paused: Boolean = false

    /**
     * Whether more than half of the service looked unhealthy at the last tick. The fault is then more likely at this
     * entry or its network, so nothing is ejected.
     */
    var observerSuspected: Boolean = false
        private set

    /** Share, 0..1, of its normal work that [row] may get at [now]. */
    fun workShare(row: Int, now: Long): Double =
        if (rows.state[row] == UpstreamState.WARMING) Ramp.share(now - rows.rampStartedAt[row], rampMicros) else 1.0

    /** Returns ejected upstreams whose time is over, ends ramps and ejects unhealthy upstreams. */
    fun tick(now: Long) {
        for (row in 0 until rows.size) if (rows.listed[row]) updateReturn(row, now)
        var members = 0
        var unhealthy = 0
        var out = 0
        for (row in 0 until rows.size) {
            if (!rows.listed[row] || !rows.inSubset[row] || rows.state[row] == UpstreamState.LEAVING) continue
            members++
            if (rows.state[row] == UpstreamState.SUSPECT) out++
            if (rows.state[row] == UpstreamState.SUSPECT || looksUnhealthy(row)) unhealthy++
        }
        observerSuspected = unhealthy * 2 > members
        if (paused || observerSuspected) return
        eject(now, (members * MAX_EJECTED_SHARE).toInt() - out)
    }

    private fun eject(now: Long, allowed: Int) {
        var remaining = allowed
        while (remaining > 0) {
            val row = worst()
            if (row < 0) return
            rows.state[row] = UpstreamState.SUSPECT
            val ejections = rows.ejectionCount[row].coerceAtMost(MAX_DOUBLINGS)
            rows.ejectedUntil[row] = now + (FIRST_EJECTION_MICROS shl ejections)
            rows.ejectionCount[row]++
            onRowChanged(row)
            remaining--
        }
    }

    private fun worst(): Int {
        var worst = -1
        for (row in 0 until rows.size) {
            if (!takesWork(row) || !looksUnhealthy(row)) continue
            if (worst < 0 || severity(row) > severity(worst)) worst = row
        }
        return worst
    }

    private fun takesWork(row: Int): Boolean {
        val state = rows.state[row]
        return rows.listed[row] && rows.inSubset[row] && (state == UpstreamState.LIVE || state == UpstreamState.WARMING)
    }

    private fun severity(row: Int) =
        rows.consecutiveFailures[row] + latencies.expected(row) / maxOf(latencies.median, 1.0)

    private fun looksUnhealthy(row: Int): Boolean = rows.consecutiveFailures[row] >= FAILURES_TO_EJECT ||
        latencies.median > 0 && rows.sampleCount[row] >= LatencyStatistics.MIN_TO_COMPARE &&
        rows.latency[row] > EJECTION_LATENCY_RATIO * latencies.median

    private fun updateReturn(row: Int, now: Long) {
        if (rows.state[row] == UpstreamState.SUSPECT && now >= rows.ejectedUntil[row]) {
            rows.state[row] = UpstreamState.WARMING
            rows.rampStartedAt[row] = now
            // A single further failure ejects the upstream again, whereas a success resets the count.
            rows.consecutiveFailures[row] = rows.consecutiveFailures[row].coerceAtMost(FAILURES_TO_EJECT - 1)
            rows.latency[row] = rows.latency[row].coerceAtMost(RETURN_LATENCY_RATIO * latencies.median)
            onRowChanged(row)
        }
        val ramped = rows.state[row] == UpstreamState.WARMING && now - rows.rampStartedAt[row] >= rampMicros
        if (ramped &&
            rows.consecutiveFailures[row] == 0 &&
            rows.latency[row] <= RETURN_LATENCY_RATIO * latencies.median
        ) {
            rows.state[row] = UpstreamState.LIVE
            rows.ejectionCount[row] = 0
            onRowChanged(row)
        }
    }

    companion object {
        /**
         * Largest share of a service that may be ejected at once, which bounds the capacity that automation can remove.
         */
        const val MAX_EJECTED_SHARE = 0.2

        /** Consecutive failures after which an upstream is ejected. */
        const val FAILURES_TO_EJECT = 3

        /**
         * Ratio to the median latency above which an upstream is ejected. An upstream that is three times slower stays,
         * since less urgent work can use its capacity.
         */
        const val EJECTION_LATENCY_RATIO = 6.0

        /**
         * Ratio to the median latency up to which a returning upstream counts as recovered; below
         * [EJECTION_LATENCY_RATIO] for hysteresis.
         */
        const val RETURN_LATENCY_RATIO = 4.0
        private const val FIRST_EJECTION_MICROS = 1_000_000L
        private const val MAX_DOUBLINGS = 5
    }
}
