package io.poplarwood.decision.limits

/**
 * Requests that each upstream runs concurrently without shedding or queueing, one row per upstream.
 *
 * A limit starts at the reported slots. Sheds lower it. When latency grows, a trial lowers the limit: if latency falls
 * with the limit, the upstream was queueing and the lower limit stays; if not, the upstream is slow and the limit is
 * restored. A limit below the reported slots grows by one after a time without changes.
 */
class ConcurrencyLimits {
    private var reportedSlots = IntArray(INITIAL_CAPACITY)
    private var limits = IntArray(INITIAL_CAPACITY)
    private var smoothedLatency = DoubleArray(INITIAL_CAPACITY)
    private var baselineLatency = DoubleArray(INITIAL_CAPACITY)
    private var latencyBeforeTrial = DoubleArray(INITIAL_CAPACITY)
    private var limitBeforeTrial = IntArray(INITIAL_CAPACITY)
    private var secondsElevated = IntArray(INITIAL_CAPACITY)
    private var trialSecondsLeft = IntArray(INITIAL_CAPACITY)
    private var secondsSinceChange = IntArray(INITIAL_CAPACITY)

    fun limit(row: Int): Int = limits[row]

    /** Sets the reported slots of [row] to [count]; the limit restarts there when the report changes. */
    fun setReportedSlots(row: Int, count: Int) {
        if (row >= reportedSlots.size) growColumns(row * 2)
        val validCount = count.coerceAtLeast(1)
        if (reportedSlots[row] == validCount) return
        reportedSlots[row] = validCount
        limits[row] = validCount
        baselineLatency[row] = 0.0
        smoothedLatency[row] = 0.0
        trialSecondsLeft[row] = 0
        secondsElevated[row] = 0
        secondsSinceChange[row] = 0
    }

    /** Clears [row], which another upstream may take over. */
    fun clear(row: Int) {
        if (row < reportedSlots.size) reportedSlots[row] = 0
    }

    /**
     * Adapts the limit of [row]; called once per second.
     *
     * @param latency smoothed latency, in any unit; 0 when unknown
     * @param sheds attempts since the last call that were shed although they were within the limit
     */
    fun adapt(row: Int, latency: Double, sheds: Int) {
        secondsSinceChange[row]++
        if (sheds >= MIN_SHEDS) {
            decrease(row)
            trialSecondsLeft[row] = 0
        } else if (latency > 0) {
            val previous = smoothedLatency[row]
            smoothedLatency[row] = if (previous == 0.0) latency else previous + (latency - previous) * SMOOTHING_WEIGHT
            updateTrial(row, smoothedLatency[row])
        }
        if (secondsSinceChange[row] >= INCREASE_INTERVAL_SECONDS && limits[row] < reportedSlots[row]) {
            limits[row]++
            secondsSinceChange[row] = 0
        }
    }

    private fun updateTrial(row: Int, latency: Double) {
        if (trialSecondsLeft[row] > 0) {
            if (--trialSecondsLeft[row] == 0) endTrial(row, latency)
            return
        }
        baselineLatency[row] =
            if (baselineLatency[row] == 0.0) latency else minOf(baselineLatency[row] * BASELINE_GROWTH, latency)
        secondsElevated[row] =
            if (latency > TRIAL_LATENCY_RATIO * baselineLatency[row] && limits[row] > 1) secondsElevated[row] + 1 else 0
        if (secondsElevated[row] >= TRIAL_SECONDS) {
            secondsElevated[row] = 0
            latencyBeforeTrial[row] = latency
            limitBeforeTrial[row] = limits[row]
            decrease(row)
            trialSecondsLeft[row] = TRIAL_SECONDS
        }
    }

    private fun endTrial(row: Int, latency: Double) {
        // Halfway between an upstream that queues, whose latency falls with the limit, and one that is slow.
        val maxRatio = (1.0 + limits[row].toDouble() / limitBeforeTrial[row]) / 2
        if (latency <= maxRatio * latencyBeforeTrial[row]) return
        limits[row] = limitBeforeTrial[row]
        baselineLatency[row] = latency
    }

    private fun decrease(row: Int) {
        limits[row] = (limits[row] - maxOf(1, limits[row] / DECREASE_DIVISOR)).coerceAtLeast(1)
        secondsSinceChange[row] = 0
    }

    private fun growColumns(to: Int) {
        reportedSlots = reportedSlots.copyOf(to)
        limits = limits.copyOf(to)
        baselineLatency = baselineLatency.copyOf(to)
        smoothedLatency = smoothedLatency.copyOf(to)
        latencyBeforeTrial = latencyBeforeTrial.copyOf(to)
        limitBeforeTrial = limitBeforeTrial.copyOf(to)
        secondsElevated = secondsElevated.copyOf(to)
        trialSecondsLeft = trialSecondsLeft.copyOf(to)
        secondsSinceChange = secondsSinceChange.copyOf(to)
    }

    private companion object {
        const val INITIAL_CAPACITY = 64

        /** A single shed may come from another entry's attempt without a lease. */
        const val MIN_SHEDS = 2

        /**
         * Ratio to the baseline latency that starts a trial; smaller ratios are within the noise of the smoothed value.
         */
        const val TRIAL_LATENCY_RATIO = 1.6

        /** The baseline rises by 1% per second, so that a lasting change of latency becomes the baseline. */
        const val BASELINE_GROWTH = 1.01

        /** A decrease takes a third of the limit; the latency change of a smaller one would be lost in noise. */
        const val DECREASE_DIVISOR = 3

        /**
         * Weight of one second's latency; without smoothing, the noise of few samples would start trials all the time.
         */
        const val SMOOTHING_WEIGHT = 0.3

        /**
         * Time in seconds for the smoothed latency to follow a change, both before a trial starts and before its end.
         */
        const val TRIAL_SECONDS = 6
        const val INCREASE_INTERVAL_SECONDS = 10
    }
}
