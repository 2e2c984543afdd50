package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Recent slowness reports of one upstream. */
internal class SlownessHistory {
    private class Sample(val value: Double, val at: Duration)

    private val samples = ArrayDeque<Sample>()

    /** Records the slowness [value] reported at [now]. */
    fun add(value: Double, now: Duration) {
        samples.addLast(Sample(value, now))
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** Slowness reported nearest to [time]; null when no report is close enough. */
    fun nearestTo(time: Duration): Double? {
        val nearest = samples.minByOrNull { (it.at - time).absoluteValue } ?: return null
        return nearest.value.takeIf { (nearest.at - time).absoluteValue <= MAX_DISTANCE }
    }

    private companion object {
        /** Covers the longest usual attempts at the rate at which reports arrive. */
        const val MAX_SAMPLES = 40

        /** A report says little about the slowness at a greater distance in time. */
        val MAX_DISTANCE = 80.milliseconds
    }
}
