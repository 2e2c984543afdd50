package io.poplarwood.decision.routing.baseline

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.RandomSource

/** Strategies that the production router is compared with. */
object Baselines {
    /** Each upstream in turn, from a random start. */
    fun roundRobin(random: RandomSource): SelectionStrategy {
        var next = random.nextInt(START_RANGE)
        return SelectionStrategy { next++ % it.count }
    }

    /** Any upstream with equal probability. */
    fun random(random: RandomSource): SelectionStrategy = SelectionStrategy { random.nextInt(it.count) }

    /** The upstream with the fewest requests of this entry in flight; ties go to the first one after a random start. */
    fun leastInFlight(random: RandomSource): SelectionStrategy = SelectionStrategy { candidates ->
        val start = random.nextInt(candidates.count)
        var best = start
        for (k in 1 until candidates.count) {
            val at = (start + k) % candidates.count
            if (candidates.inFlight(at) < candidates.inFlight(best)) best = at
        }
        best
    }

    /** The less loaded of two random upstreams, by the in-flight requests that [reportedInFlight] gives for them. */
    fun twoChoices(
        random: RandomSource,
        reportedInFlight: (UpstreamId) -> Int,
    ): SelectionStrategy = SelectionStrategy { candidates ->
        val first = random.nextInt(candidates.count)
        val second = (first + 1 + random.nextInt((candidates.count - 1).coerceAtLeast(1))) % candidates.count
        if (reportedInFlight(candidates.id(second)) < reportedInFlight(candidates.id(first))) second else first
    }

    private const val START_RANGE = 1 shl 20
}
