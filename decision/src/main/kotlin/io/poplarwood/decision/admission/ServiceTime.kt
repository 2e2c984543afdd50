package io.poplarwood.decision.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measured time for which one class holds a slot. */
internal class ServiceTime {
    private val latest = DoubleArray(SAMPLES)
    private var count = 0L

    /** Smoothed mean in seconds; zero before the first sample. */
    var mean = 0.0
        private set

    /** Shortest of the latest samples: a call with less time left can hardly finish. Zero before the ring is full. */
    var fast: Duration = Duration.ZERO
        private set

    fun record(sample: Duration) {
        val s = sample.toDouble(DurationUnit.SECONDS)
        latest[(count++ % SAMPLES).toInt()] = s
        mean += maxOf(WEIGHT, 1.0 / count) * (s - mean)
        if (count >= SAMPLES) fast = latest.min().seconds
    }

    private companion object {
        const val WEIGHT = 0.03

        /** The shortest of 32 is about the third percentile. */
        const val SAMPLES = 32
    }
}
