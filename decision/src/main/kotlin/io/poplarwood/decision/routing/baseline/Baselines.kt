package io.poplarwood.decision.routing.baseline

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.Randomness

/** Strategies that the shipped router is measured against. */
object Baselines {
    /** Each upstream in turn, from a random start. */
    fun roundRobin(random: Randomness): Choice {
        var next = random.nextInt(START_RANGE)
        return Choice { next++ % it.count }
    }

    /** Any upstream with equal probability. */
    fun random(random: Randomness): Choice = Choice { random.nextInt(it.count) }

    /** The upstream with the fewest requests of this entry in flight; ties are broken at random. */
    fun leastInFlight(random: Randomness): Choice = Choice { all ->
        val start = random.nextInt(all.count)
        var best = start
        for (k in 1 until all.count) {
            val at = (start + k) % all.count
            if (all.inFlight(at) < all.inFlight(best)) best = at
        }
        best
    }

    /** The less loaded of two random upstreams, as [report] tells their requests in flight. */
    fun twoChoices(random: Randomness, report: (UpstreamId) -> Int): Choice = Choice { all ->
        val first = random.nextInt(all.count)
        val second = (first + 1 + random.nextInt((all.count - 1).coerceAtLeast(1))) % all.count
        if (report(all.id(second)) < report(all.id(first))) second else first
    }

    private const val START_RANGE = 1 shl 20
}
