package io.poplarwood.fleet.recovery

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Token bucket of [perSecond] tokens that holds at most [capacity]; it starts full. */
class TokenBucket(private val perSecond: Double, private val capacity: Double) {
    private var tokens = capacity
    private var filledAt: Duration? = null

    /** Takes [count] tokens at [now] when there are as many; a [count] above the capacity needs a full bucket. */
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
