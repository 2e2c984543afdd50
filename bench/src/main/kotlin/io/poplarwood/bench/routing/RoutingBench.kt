package io.poplarwood.bench.routing

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Compares the shipped router with the baselines and the omniscient queue, in virtual time. */
object RoutingBench : Bench {
    override val name: String = "routing"
    override val summary: String = "urgent latency and extra attempts of routing policies against an omniscient queue"

    private val length = 15.seconds
    private val quickLength = 1.seconds

    override suspend fun run(options: BenchOptions): BenchReport {
        val results = coroutineScope {
            val some = Dispatchers.Default.limitedParallelism(PARALLEL_RUNS)
            Scenarios.all.map { async(some) { measure(it, options) } }.awaitAll()
        }
        return BenchReport(name, options.seed, results.map { it.first }, results.flatMap { it.second })
    }

    private fun measure(scenario: Scenario, options: BenchOptions): Pair<BenchTable, List<BenchCheck>> {
        val run = RoutingRun(scenario, options.seed, if (options.quick) quickLength else length)
        val floor = run.floor()
        val figures = Policies.all(options.seed).associate { it.name to run.run(it) }
        return table(scenario, floor, figures) to RoutingChecks.of(scenario, floor, figures)
    }

    private fun table(scenario: Scenario, floor: RoutingFigures, figures: Map<String, RoutingFigures>): BenchTable {
        val columns = listOf(
            "urgent p50 / floor",
            "urgent p99 / floor",
            "urgent p999 / floor",
            "urgent p99 ms",
            "other ranks p99 ms",
            "extra attempts per request",
            "failed %",
            "unanswered %",
            "slot messages B/s per entry",
        )
        val rows = listOf(row("omniscient queue", floor, floor)) + figures.map { (name, f) -> row(name, f, floor) }
        return BenchTable(title(scenario), columns, rows)
    }

    private fun title(s: Scenario): String {
        val base = "${s.name}; ${s.upstreams} upstreams of ${s.slots} slots, 16 entries, 3 zones 1 ms apart"
        val after = if (s.slowedCount > 0) ", of the capacity after ${s.slowedCount} turned 3 times slower" else ""
        return "$base; load ${(s.load * PERCENT).toInt()}%$after"
    }

    private fun row(name: String, f: RoutingFigures, floor: RoutingFigures) = BenchRow(
        name,
        listOf(
            f.p50 / floor.p50,
            f.p99 / floor.p99,
            f.p999 / floor.p999,
            f.p99.ms(),
            f.othersP99.ms(),
            f.extraAttempts,
            f.failed * PERCENT,
            f.unanswered * PERCENT,
            f.bytesPerSecond,
        ),
    )

    private fun Duration.ms() = toDouble(DurationUnit.MILLISECONDS)

    private const val PERCENT = 100.0

    /** Scenarios at once; each has its own clock and random numbers, so the figures do not depend on it. */
    private const val PARALLEL_RUNS = 3
}
