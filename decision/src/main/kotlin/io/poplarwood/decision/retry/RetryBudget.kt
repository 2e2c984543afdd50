package io.poplarwood.decision.retry

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Token bucket of retries for one class at one entry.
 *
 * Each success adds [share] tokens and time adds [floorPerSecond], so that a class with little work can still retry.
 * The cap keeps a long quiet time from paying for a burst of retries.
 */
internal class RetryBudget(private val share: Double, private val floorPerSecond: Double, start: Duration) {
    private var tokens = 1.0
    private var filledAt = start

    fun succeeded() {
        tokens = (tokens + share).coerceAtMost(CAP)
    }

    /** Takes one token; false when the budget is spent. */
    fun take(now: Duration): Boolean {
        val gained = (now - filledAt).toDouble(DurationUnit.SECONDS) * floorPerSecond
        filledAt = now
        tokens = (tokens + gained).coerceAtMost(CAP)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        /** Retries that a full bucket allows at once. */
        const val CAP = 10.0
    }
}
