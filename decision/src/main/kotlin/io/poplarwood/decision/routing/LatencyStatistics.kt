package io.poplarwood.decision.routing

/** Smooths the latency of each upstream and compares it with the median of its service. */
internal class LatencyStatistics(private val rows: UpstreamTable) {
    private var scratch = DoubleArray(0)

    /** Median of the smoothed latencies in microseconds; 0 while too few upstreams have answered. */
    var median: Double = 0.0
        private set

    /** Takes in an answer that took [micros]. */
    fun answered(row: Int, micros: Double, now: Long) {
        val n = rows.samples[row]
        val weight = maxOf(1.0 / (n + 1), WEIGHT)
        rows.latency[row] += (micros - rows.latency[row]) * weight
        if (n < ENOUGH) rows.samples[row] = n + 1
        rows.sampledAt[row] = now
    }

    /** Takes in a peer's smoothed latency, sent along with a lease; own recent answers count more. */
    fun heard(row: Int, micros: Double, now: Long) {
        if (micros <= 0.0 || now - rows.sampledAt[row] < RECENT_MICROS && rows.samples[row] >= ENOUGH) return
        rows.latency[row] = if (rows.samples[row] == 0) micros else (rows.latency[row] + micros) / 2
        rows.samples[row] = ENOUGH
        rows.sampledAt[row] = now
    }

    /** Expected latency of [row] in microseconds; the median where nothing is known. */
    fun expected(row: Int): Double = if (rows.samples[row] == 0) median else rows.latency[row]

    /** Whether [row] is clearly slower than its service. */
    fun slow(row: Int): Boolean = median > 0 && rows.samples[row] >= FEW && rows.latency[row] > SLOW * median

    /** Updates the median and lets evidence without new answers fade, so that slow upstreams are tried again. */
    fun tick(now: Long) {
        if (scratch.size < rows.size) scratch = DoubleArray(rows.size * 2)
        var n = 0
        for (row in 0 until rows.size) {
            if (!rows.listed[row] || rows.samples[row] == 0) continue
            if (median > 0 && now - rows.sampledAt[row] > RECENT_MICROS) {
                rows.latency[row] += (median - rows.latency[row]) * FADE
            }
            scratch[n++] = rows.latency[row]
        }
        if (n < FEW) return
        scratch.sort(0, n)
        median = scratch[n / 2]
    }

    companion object {
        /** Answers after which the smoothed latency counts as known. */
        const val ENOUGH = 8

        /** Upstreams, or answers, below which nothing is compared. */
        const val FEW = 3

        /** Weight of one answer; about the last 10 count. */
        private const val WEIGHT = 0.1

        /** Times the median from which an upstream is slow: between noise of ten exponential answers and threefold. */
        const val SLOW = 1.8
        private const val RECENT_MICROS = 3_000_000L

        /** Part of the distance to the median that evidence without answers loses per tick of 100 ms. */
        private const val FADE = 0.02
    }
}
