package io.poplarwood.gateway.limit

import kotlin.math.max
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Token bucket that is empty at [createdAt]. Its rate is given with each call, because it may change. */
internal class TokenBucket(createdAt: Duration) {
    private var tokens = 0.0
    private var updatedAt = createdAt

    /** Takes a token if there is one. */
    fun tryTake(perSecond: Double, now: Duration): Boolean {
        refill(perSecond, now)
        if (tokens < 1) return false
        tokens--
        return true
    }

    /** Time until there is a token; zero when there is one. */
    fun timeUntilToken(perSecond: Double, now: Duration): Duration {
        refill(perSecond, now)
        return 1.seconds * (max(1 - tokens, 0.0) / perSecond)
    }

    private fun refill(perSecond: Double, now: Duration) {
        val added = (now - updatedAt).toDouble(DurationUnit.SECONDS) * perSecond
        tokens = min(tokens + added, max(1.0, perSecond * DEPTH_S))
        updatedAt = now
    }

    private companion object {
        /** Seconds of the rate that the bucket holds, but at least one token. */
        const val DEPTH_S = 0.1
    }
}
