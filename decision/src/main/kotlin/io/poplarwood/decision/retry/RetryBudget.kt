package io.poplarwood.decision.retry

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Token bucket of retries for one class at one entry.
 *
 * Each success adds [share] tokens, and time adds [minPerSecond], so that a class with little work can still retry. The
 * capacity keeps a long idle time from paying for a burst of retries.
 */
internal class RetryBudget(private val share: Double, private val minPerSecond: Double, start: Duration) {
    private var tokens = 1.0
    private var refilledAt = start

    fun recordSuccess() {
        tokens = (tokens + share).coerceAtMost(CAPACITY)
    }

    /** Takes one token; returns false when the budget is spent. */
    fun tryTake(now: Duration): Boolean {
        val gained = (now - refilledAt).toDouble(DurationUnit.SECONDS) * minPerSecond
        refilledAt = now
        tokens = (tokens + gained).coerceAtMost(CAPACITY)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        /** Retries that a full bucket allows at once. */
        const val CAPACITY = 10.0
    }
}
