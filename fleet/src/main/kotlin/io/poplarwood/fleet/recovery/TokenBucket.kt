package io.poplarwood.fleet.recovery

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Token bucket that gains [perSecond] tokens per second and holds at most [capacity]; initially full. */
class TokenBucket(private val perSecond: Double, private val capacity: Double) {
    private var tokens = capacity
    private var filledAt: Duration? = null

    /** Takes [count] tokens if available; a [count] above the capacity needs a full bucket and leaves a deficit. */
    fun tryTake(now: Duration, count: Double = 1.0): Boolean {
        fill(now)
        if (tokens < minOf(count, capacity)) return false
        tokens -= count
        return true
    }

    private fun fill(now: Duration) {
        val last = filledAt ?: now
        filledAt = now
        tokens = minOf(capacity, tokens + (now - last).toDouble(DurationUnit.SECONDS) * perSecond)
    }
}
