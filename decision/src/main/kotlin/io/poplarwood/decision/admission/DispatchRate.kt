package io.poplarwood.decision.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Smoothed rate at which calls of one class leave the queue for an upstream, in calls per second. */
internal class DispatchRate {
    private var dispatches = 0
    private var smoothedRate = 0.0

    val rate: Double get() = smoothedRate

    fun recordDispatch() {
        dispatches++
    }

    /** Updates the rate with the dispatches of the last [elapsed] time. */
    fun advance(elapsed: Duration) {
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        if (seconds <= 0.0) return
        val weight = 1 - exp(-seconds / WINDOW_SECONDS)
        smoothedRate += weight * (dispatches / seconds - smoothedRate)
        dispatches = 0
    }

    private companion object {
        const val WINDOW_SECONDS = 0.3
    }
}
