package io.poplarwood.decision.routing

import io.poplarwood.api.work.Rank

/**
 * Bounds the sheds that dispatching without a lease causes: a token bucket that grants fill and sheds empty.
 *
 * Less urgent ranks need a fuller bucket, so that they leave the budget to urgent work.
 *
 * @param perRequest tokens that one granted request adds; one shed costs one token
 */
internal class ShedBudget(private val perRequest: Double) {
    private var tokens = CAPACITY

    /** Adds the tokens of one granted request. */
    fun recordGrant() {
        tokens = (tokens + perRequest).coerceAtMost(CAPACITY)
    }

    /** Takes the token of an attempt that was shed or had to queue at the upstream. */
    fun recordShed() {
        tokens = (tokens - 1.0).coerceAtLeast(-CAPACITY)
    }

    fun allows(rank: Rank): Boolean = tokens >= CAPACITY * MIN_FILL[rank.ordinal]

    private companion object {
        /** Sheds that a full bucket allows in succession; bounds the cost of a sudden overload. */
        const val CAPACITY = 20.0

        /** Share of the capacity that each rank needs, indexed by [Rank.ordinal]. */
        val MIN_FILL = doubleArrayOf(0.05, 0.5, 0.9)
    }
}
