package io.poplarwood.decision.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Smoothed rate at which calls of one class leave the queue for an upstream, in calls a second. */
internal class DrainRate {
    private var count = 0
    private var perSecond = 0.0

    val rate: Double get() = perSecond

    fun dispatched() {
        count++
    }

    /** Folds in what left during the last [span]. */
    fun advance(span: Duration) {
        val seconds = span.toDouble(DurationUnit.SECONDS)
        if (seconds <= 0.0) return
        val weight = 1 - exp(-seconds / WINDOW_SECONDS)
        perSecond += weight * (count / seconds - perSecond)
        count = 0
    }

    private companion object {
        const val WINDOW_SECONDS = 0.3
    }
}
