package io.poplarwood.bench.routing

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import io.poplarwood.bench.virtual.Arrivals
import io.poplarwood.bench.virtual.Outcomes
import io.poplarwood.bench.virtual.VirtualCell
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Runs policies and the floor under a scenario, with equal arrivals. */
internal class RoutingRun(private val scenario: Scenario, private val seed: Long, private val length: Duration) {
    /** Runs [policy]. */
    fun run(policy: Policy): RoutingFigures {
        val cell = VirtualCell(scenario.cell(seed), policy.router)
        val outcomes = Outcomes()
        scenario.schedule(cell)
        Arrivals(cell, SplitMix(seed)) { scenario.perSecond(it) }
            .start(Scenario.WARM_UP, Scenario.WARM_UP + length, outcomes)
        cell.loop.runUntil(Scenario.WARM_UP)
        val bytes = cell.mesh.bytes
        cell.loop.runUntil(Scenario.WARM_UP + length)
        val sent = (cell.mesh.bytes - bytes) / length.toDouble(DurationUnit.SECONDS) / cell.entries.size
        cell.loop.runUntil(Scenario.WARM_UP + length + DRAIN)
        return figures(outcomes, sent)
    }

    /** Runs the omniscient queue. */
    fun floor(): RoutingFigures {
        val outcomes = Outcomes()
        OmniscientQueue(scenario, seed).run(length, outcomes)
        return figures(outcomes, 0.0)
    }

    private fun figures(o: Outcomes, bytes: Double): RoutingFigures {
        check(o.requests > 0) { "the run of ${scenario.name} measured no request" }
        return RoutingFigures(
            p50 = o.latency(Rank.URGENT, 0.5),
            p99 = o.latency(Rank.URGENT, 0.99),
            p999 = o.latency(Rank.URGENT, 0.999),
            othersP99 = maxOf(o.latency(Rank.STANDARD, 0.99), o.latency(Rank.BACKGROUND, 0.99)),
            extraAttempts = o.extraAttempts,
            failed = o.failed.toDouble() / o.requests,
            unanswered =
                1.0 - (Rank.entries.sumOf { o.answeredCount(it) } + o.failed - o.timeouts).toDouble() / o.requests,
            bytesPerSecond = bytes,
        )
    }

    private companion object {
        /** Time for the last requests to end. */
        val DRAIN = 5.seconds
    }
}
