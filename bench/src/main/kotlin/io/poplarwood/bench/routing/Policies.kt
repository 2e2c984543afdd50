package io.poplarwood.bench.routing

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.random.SplitMix
import io.poplarwood.bench.virtual.VirtualCell
import io.poplarwood.decision.routing.RouterSettings
import io.poplarwood.decision.routing.SlotRouter
import io.poplarwood.decision.routing.baseline.Baselines
import io.poplarwood.decision.routing.baseline.SelectionStrategy
import io.poplarwood.decision.routing.baseline.StrategyRouter
import kotlin.time.Duration.Companion.milliseconds

/** The policies that the routing bench compares. */
internal object Policies {
    /** Name of the shipped policy. */
    const val SHIPPED = "slot leases"

    /** Name of the baseline that the targets name. */
    const val TWO_CHOICES = "two choices, 100 ms reports"

    private val reportEvery = 100.milliseconds

    /** The shipped policy and the baselines, with random numbers from [seed]. */
    fun all(seed: Long): List<Policy> {
        val shares = listOf(share(seed, 2), share(seed, 52))
        return listOf(shipped(seed)) + shares + leasesOnly(seed) + baselines(seed)
    }

    /** The shipped policy. */
    fun shipped(seed: Long): Policy = slots(SHIPPED, seed) { it }

    /** With the part of the byte cap that one of [services] services has: 2 today, 52 in a cell in two years. */
    private fun share(seed: Long, services: Int) = slots("slot leases, one of $services services", seed) {
        it.copy(leaseBytesPerSecond = { RouterSettings.leaseBytesPerService(services) })
    }

    private fun leasesOnly(seed: Long) =
        slots("leases without optimistic dispatch", seed) { it.copy(shedsPerRequest = -1.0) }

    private fun slots(name: String, seed: Long, change: (RouterSettings) -> RouterSettings) =
        Policy(name) { cell, self, zone, send ->
            SlotRouter(self, change(RouterSettings(zone)), cell.loop, SplitMix(seed xor self.hashCode().toLong()), send)
        }

    private fun baselines(seed: Long): List<Policy> {
        val random = SplitMix(seed)
        return listOf(
            choice("round robin") { Baselines.roundRobin(random) },
            choice("random") { Baselines.random(random) },
            choice("least in flight") { Baselines.leastInFlight(random) },
            twoChoices(random),
        )
    }

    private fun choice(name: String, make: () -> SelectionStrategy) = Policy(name) { _, _, _, _ ->
        StrategyRouter(make())
    }

    private fun twoChoices(random: SplitMix): Policy {
        val reports = HashMap<VirtualCell, HashMap<UpstreamId, Int>>()
        return Policy(TWO_CHOICES) { cell, _, _, _ ->
            val report = reports.getOrPut(cell) { HashMap<UpstreamId, Int>().also { refresh(cell, it) } }
            StrategyRouter(Baselines.twoChoices(random) { report[it] ?: 0 })
        }
    }

    private fun refresh(cell: VirtualCell, report: HashMap<UpstreamId, Int>) {
        cell.loop.every(reportEvery) {
            for (u in cell.upstreams) report[u.view.id] = u.inFlight
            true
        }
    }
}
