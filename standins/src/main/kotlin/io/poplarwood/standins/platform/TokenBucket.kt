package io.poplarwood.standins.platform

import io.poplarwood.api.time.Ticker
import kotlin.time.DurationUnit

/** Allows [perSecond] units a second with a burst of one second's worth. */
internal class TokenBucket(private val perSecond: Double, private val ticker: Ticker) {
    private var tokens = perSecond
    private var last = ticker.now()

    /** Takes [units] if they are there. */
    @Synchronized
    fun take(units: Int): Boolean {
        val now = ticker.now()
        tokens = (tokens + (now - last).toDouble(DurationUnit.SECONDS) * perSecond).coerceAtMost(perSecond)
        last = now
        if (tokens < units) return false
        tokens -= units
        return true
    }
}
