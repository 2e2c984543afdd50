package io.poplarwood.bench.routing

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.work.Rank
import io.poplarwood.bench.virtual.Arrivals
import io.poplarwood.bench.virtual.Outcomes
import io.poplarwood.bench.virtual.VirtualCell
import io.poplarwood.decision.routing.baseline.Baselines
import io.poplarwood.decision.routing.baseline.StrategyRouter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The floor: one queue for all entries that knows at every instant which slots are free, and gives the slot that has
 * been free for longest to the most urgent request. It does not know which upstreams are slow. Moving a request takes
 * no slot time; its latency still includes the way from its entry to the upstream and back.
 */
internal class OmniscientQueue(private val scenario: Scenario, seed: Long) {
    private class Waiting(val entryZone: Int, val arrived: Duration, val outcomes: Outcomes?)

    private val cell = VirtualCell(scenario.cell(seed)) { _, _, _, _ -> StrategyRouter(Baselines.random(SplitMix(0))) }
    private val settings = scenario.cell(seed)
    private val free = ArrayDeque<Int>()
    private val queues = Rank.entries.map { ArrayDeque<Waiting>() }
    private val zones = SplitMix(seed + 1)
    private val arrivals = Arrivals(cell, SplitMix(seed)) { scenario.perSecond(it) }

    /** Runs the scenario for its warm-up and [length]. */
    fun run(length: Duration, outcomes: Outcomes) {
        scenario.schedule(cell)
        repeat(settings.slots) { free.addAll(cell.upstreams.indices) }
        arrivals.start(Scenario.WARM_UP, Scenario.WARM_UP + length, outcomes) { rank, counted -> offer(rank, counted) }
        cell.loop.runUntil(Scenario.WARM_UP + length + 5.seconds)
    }

    private fun offer(rank: Rank, outcomes: Outcomes?) {
        outcomes?.let {
            it.requests++
            it.attempts++
        }
        queues[rank.ordinal].addLast(Waiting(zones.nextInt(settings.zones), cell.loop.now(), outcomes))
        serve()
    }

    private fun serve() {
        while (free.isNotEmpty()) {
            val rank = Rank.entries.firstOrNull { queues[it.ordinal].isNotEmpty() } ?: return
            // A failing upstream takes no slot of the floor: it is known to fail.
            val at = free.removeFirst()
            if (cell.upstreams[at].failFast) continue
            start(rank, queues[rank.ordinal].removeFirst(), at)
        }
    }

    private fun start(rank: Rank, call: Waiting, at: Int) {
        val way = if (at % settings.zones == call.entryZone) settings.withinZone else settings.betweenZones
        cell.upstreams[at].arrive {
            val latency = cell.loop.now() - call.arrived + way * 2
            call.outcomes?.answered(rank, latency.coerceAtLeast(0.milliseconds))
            free.addLast(at)
            serve()
        }
    }
}
