package io.poplarwood.decision.routing

import io.poplarwood.decision.limits.Ramp

/**
 * Ejects upstreams that fail or are far slower than their peers and lets them return through a ramp.
 *
 * @param rampMicros length of the ramp
 * @param changed called with each row whose state changes
 */
internal class Ejection(
    private val rows: UpstreamTable,
    private val evidence: LatencyStatistics,
    private val rampMicros: Long,
    private val changed: (Int) -> Unit,
) {
    /** Stops ejections; returns go on. */
    var paused: Boolean = false

    /** Whether more than half of the service looked bad at the last tick, so that the observer is suspected. */
    var observerSuspected: Boolean = false
        private set

    /** Share of its normal work that [row] gets now. */
    fun share(row: Int, now: Long): Double =
        if (rows.state[row] == UpstreamState.WARMING) Ramp.share(now - rows.rampFrom[row], rampMicros) else 1.0

    /** Lets suspects return, ends ramps and ejects what looks bad. */
    fun tick(now: Long) {
        for (row in 0 until rows.size) if (rows.listed[row]) comeBack(row, now)
        var members = 0
        var bad = 0
        var out = 0
        for (row in 0 until rows.size) {
            if (!rows.listed[row] || !rows.member[row] || rows.state[row] == UpstreamState.LEAVING) continue
            members++
            if (rows.state[row] == UpstreamState.SUSPECT) out++
            if (rows.state[row] == UpstreamState.SUSPECT || looksBad(row)) bad++
        }
        observerSuspected = bad * 2 > members
        if (paused || observerSuspected) return
        eject(now, (members * MOST_EJECTED).toInt() - out)
    }

    private fun eject(now: Long, allowed: Int) {
        var left = allowed
        while (left > 0) {
            val row = worst()
            if (row < 0) return
            rows.state[row] = UpstreamState.SUSPECT
            val ejections = rows.ejections[row].coerceAtMost(MOST_DOUBLINGS)
            rows.returnAt[row] = now + (FIRST_EJECTION_MICROS shl ejections)
            rows.ejections[row]++
            changed(row)
            left--
        }
    }

    private fun worst(): Int {
        var worst = -1
        for (row in 0 until rows.size) {
            if (!takesWork(row) || !looksBad(row)) continue
            if (worst < 0 || badness(row) > badness(worst)) worst = row
        }
        return worst
    }

    private fun takesWork(row: Int): Boolean {
        val state = rows.state[row]
        return rows.listed[row] && rows.member[row] && (state == UpstreamState.LIVE || state == UpstreamState.WARMING)
    }

    private fun badness(row: Int) = rows.failures[row] + evidence.expected(row) / maxOf(evidence.median, 1.0)

    private fun looksBad(row: Int): Boolean = rows.failures[row] >= MOST_FAILURES ||
        evidence.median > 0 && rows.samples[row] >= LatencyStatistics.FEW &&
        rows.latency[row] > FAR_SLOWER * evidence.median

    private fun comeBack(row: Int, now: Long) {
        if (rows.state[row] == UpstreamState.SUSPECT && now >= rows.returnAt[row]) {
            rows.state[row] = UpstreamState.WARMING
            rows.rampFrom[row] = now
            // One more failure ejects again, but an answer clears them.
            rows.failures[row] = rows.failures[row].coerceAtMost(MOST_FAILURES - 1)
            rows.latency[row] = rows.latency[row].coerceAtMost(RETURNING * evidence.median)
            changed(row)
        }
        val ramped = rows.state[row] == UpstreamState.WARMING && now - rows.rampFrom[row] >= rampMicros
        if (ramped && rows.failures[row] == 0 && rows.latency[row] <= RETURNING * evidence.median) {
            rows.state[row] = UpstreamState.LIVE
            rows.ejections[row] = 0
            changed(row)
        }
    }

    companion object {
        /** Share of a service that may be ejected at once: the velocity control of the design. */
        const val MOST_EJECTED = 0.2

        /** Failures in a row that eject. */
        const val MOST_FAILURES = 3

        /** Times the median that eject. Threefold slowness does not: its capacity is of use to less urgent work. */
        const val FAR_SLOWER = 6.0

        /** Times the median up to which a returning upstream is taken back; lower than [FAR_SLOWER] for hysteresis. */
        const val RETURNING = 4.0
        private const val FIRST_EJECTION_MICROS = 1_000_000L
        private const val MOST_DOUBLINGS = 5
    }
}
