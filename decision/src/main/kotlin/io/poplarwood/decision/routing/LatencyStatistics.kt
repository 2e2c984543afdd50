package io.poplarwood.decision.routing

/** Smooths the latency of each upstream and compares it with the median of the service. */
internal class LatencyStatistics(private val rows: UpstreamTable) {
    private var scratch = DoubleArray(0)

    /** Median of the smoothed latencies in microseconds; 0 while too few upstreams have responded. */
    var median: Double = 0.0
        private set

    /** Adds a sample of [micros] to the smoothed latency of [row]. */
    fun recordAnswer(row: Int, micros: Double, now: Long) {
        val n = rows.sampleCount[row]
        val weight = maxOf(1.0 / (n + 1), MIN_ANSWER_WEIGHT)
        rows.latency[row] += (micros - rows.latency[row]) * weight
        if (n < KNOWN_SAMPLES) rows.sampleCount[row] = n + 1
        rows.sampledAt[row] = now
    }

    /**
     * Merges a peer's smoothed latency, which arrives with a lease. Ignored while this entry has enough recent samples.
     */
    fun mergePeerLatency(row: Int, micros: Double, now: Long) {
        if (micros <= 0.0 || now - rows.sampledAt[row] < RECENT_MICROS && rows.sampleCount[row] >= KNOWN_SAMPLES) return
        rows.latency[row] = if (rows.sampleCount[row] == 0) micros else (rows.latency[row] + micros) / 2
        rows.sampleCount[row] = KNOWN_SAMPLES
        rows.sampledAt[row] = now
    }

    /** Expected latency of [row] in microseconds; the median while the upstream has no samples. */
    fun expected(row: Int): Double = if (rows.sampleCount[row] == 0) median else rows.latency[row]

    /** Whether [row] is clearly slower than the rest of its service. */
    fun isSlow(row: Int): Boolean =
        median > 0 && rows.sampleCount[row] >= MIN_TO_COMPARE && rows.latency[row] > SLOW_RATIO * median

    /**
     * Updates the median and moves latencies without recent samples towards it, so that slow upstreams are tried again.
     */
    fun tick(now: Long) {
        if (scratch.size < rows.size) scratch = DoubleArray(rows.size * 2)
        var n = 0
        for (row in 0 until rows.size) {
            if (!rows.listed[row] || rows.sampleCount[row] == 0) continue
            if (median > 0 && now - rows.sampledAt[row] > RECENT_MICROS) {
                rows.latency[row] += (median - rows.latency[row]) * DECAY_PER_TICK
            }
            scratch[n++] = rows.latency[row]
        }
        if (n < MIN_TO_COMPARE) return
        scratch.sort(0, n)
        median = scratch[n / 2]
    }

    companion object {
        /** Samples after which the smoothed latency counts as known. */
        const val KNOWN_SAMPLES = 8

        /** Fewest samples of an upstream, and fewest upstreams with samples, for a comparison. */
        const val MIN_TO_COMPARE = 3

        /** Weight of a new sample once there are enough; about the last 10 samples count. */
        private const val MIN_ANSWER_WEIGHT = 0.1

        /**
         * Ratio to the median above which an upstream is slow: above the noise of ten exponentially distributed samples
         * and below an upstream that is three times slower.
         */
        const val SLOW_RATIO = 1.8
        private const val RECENT_MICROS = 3_000_000L

        /** Part of the distance to the median that a latency without recent samples loses per tick of 100 ms. */
        private const val DECAY_PER_TICK = 0.02
    }
}
