package io.poplarwood.decision.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Time for which calls of one class hold a slot. */
internal class ServiceTime {
    private val samples = DoubleArray(SAMPLE_COUNT)
    private var count = 0L

    /** Smoothed mean in seconds; zero before the first sample. */
    var mean = 0.0
        private set

    /**
     * Shortest of the latest samples; a call with less time left can hardly complete. Zero until there are
     * [SAMPLE_COUNT] samples.
     */
    var shortest: Duration = Duration.ZERO
        private set

    fun record(sample: Duration) {
        val seconds = sample.toDouble(DurationUnit.SECONDS)
        samples[(count++ % SAMPLE_COUNT).toInt()] = seconds
        mean += maxOf(SMOOTHING_WEIGHT, 1.0 / count) * (seconds - mean)
        if (count >= SAMPLE_COUNT) shortest = samples.min().seconds
    }

    private companion object {
        const val SMOOTHING_WEIGHT = 0.03

        /** The shortest of 32 samples is about the third percentile. */
        const val SAMPLE_COUNT = 32
    }
}
