package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The last figures of slowness that one upstream told. */
internal class SlownessHistory {
    private class Figure(val value: Double, val at: Duration)

    private val figures = ArrayDeque<Figure>()

    /** Notes [value], told at [now]. */
    fun add(value: Double, now: Duration) {
        figures.addLast(Figure(value, now))
        if (figures.size > MOST) figures.removeFirst()
    }

    /** The figure told nearest to [time]; null when none was told about then. */
    fun near(time: Duration): Double? {
        val nearest = figures.minByOrNull { (it.at - time).absoluteValue } ?: return null
        return nearest.value.takeIf { (nearest.at - time).absoluteValue <= NEAR }
    }

    private companion object {
        /** Enough for the longest usual runs at the rate at which figures come. */
        const val MOST = 40

        /** A figure says little of what held longer before or after it. */
        val NEAR = 80.milliseconds
    }
}
