package io.poplarwood.standins.platform

import io.poplarwood.api.time.Ticker
import kotlin.time.DurationUnit

/** Rate limiter that allows [unitsPerSecond] units per second with a burst of one second's worth. */
internal class TokenBucket(private val unitsPerSecond: Double, private val ticker: Ticker) {
    private var tokens = unitsPerSecond
    private var lastRefillAt = ticker.now()

    /** Takes [units] tokens if available; returns whether they were taken. */
    @Synchronized
    fun tryTake(units: Int): Boolean {
        val now = ticker.now()
        tokens =
            (tokens + (now - lastRefillAt).toDouble(DurationUnit.SECONDS) * unitsPerSecond).coerceAtMost(unitsPerSecond)
        lastRefillAt = now
        if (tokens < units) return false
        tokens -= units
        return true
    }
}
