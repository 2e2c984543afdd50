package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The last figures of slowness that one upstream told. */
internal class SlownessHistory {
    private class Sample(val value: Double, val at: Duration)

    private val samples = ArrayDeque<Sample>()

    /** Notes [value], told at [now]. */
    fun add(value: Double, now: Duration) {
        samples.addLast(Sample(value, now))
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** The figure told nearest to [time]; null when none was told about then. */
    fun nearestTo(time: Duration): Double? {
        val nearest = samples.minByOrNull { (it.at - time).absoluteValue } ?: return null
        return nearest.value.takeIf { (nearest.at - time).absoluteValue <= MAX_DISTANCE }
    }

    private companion object {
        /** Enough for the longest usual runs at the rate at which figures come. */
        const val MAX_SAMPLES = 40

        /** A figure says little of what held longer before or after it. */
        val MAX_DISTANCE = 80.milliseconds
    }
}
