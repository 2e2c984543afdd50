package io.poplarwood.fleet.recovery

import io.poplarwood.api.random.RandomSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff with full jitter: the delay after failure `n` is uniform in `0..min(cap, base * 2^n)`. */
class Backoff(
    private val random: RandomSource,
    private val base: Duration = 200.milliseconds,
    private val cap: Duration = 10.seconds,
) {
    private var failures = 0

    /** Records a failure and returns the delay before the next attempt. */
    fun recordFailure(): Duration {
        val ceiling = minOf(cap, base * (1 shl minOf(failures, MAX_SHIFT)))
        failures++
        return ceiling * random.nextDouble()
    }

    /** Resets the number of failures after a success. */
    fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_SHIFT = 10
    }
}
