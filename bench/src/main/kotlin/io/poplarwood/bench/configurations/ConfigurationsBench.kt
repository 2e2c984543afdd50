package io.poplarwood.bench.configurations

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.platform.standin.Reaction
import io.poplarwood.platform.standin.StandInCell
import java.nio.file.Files
import java.nio.file.Path

/**
 * Large configurations at entries that are processes with small processors and links: how long readiness checks and
 * callers wait while a version is taken in, and when it is in force.
 */
class ConfigurationsBench(private val ticker: Ticker) : Bench {
    override val name = "configurations"
    override val summary = "readiness and requests while entries with 0.3 of a core take in thousands of routes"

    override suspend fun run(options: BenchOptions): BenchReport {
        val directory = Files.createTempDirectory("poplarwood-configurations")
        val report = StandInCell().use { cell -> ProcessorShare().use { play(options, cell, it, directory) } }
        if (report.checks.all { it.met }) {
            directory.toFile().deleteRecursively()
        } else {
            System.err.println("logs of the entries: $directory")
        }
        return report
    }

    private fun play(
        options: BenchOptions,
        cell: StandInCell,
        shares: ProcessorShare,
        directory: Path,
    ): BenchReport {
        val random = SplitMix(options.seed)
        for (service in listOf("s1", "s2")) {
            repeat(UPSTREAMS) { number ->
                cell.startUpstream("$service-$number", service, slots = SLOTS) { Reaction.reply(it, body = service) }
            }
        }
        val changes = ConfigurationChanges(cell, ticker).apply { add(FIRST_ROUTES) }
        val results = WatchResults(ticker)
        val entries = shapes(options, random).mapIndexed { number, shape ->
            EntryVm("e$number", "z${number % ZONES + 1}", shape, cell, shares, directory)
        }
        val closeEntries = Thread { entries.forEach { it.close() } }
        Runtime.getRuntime().addShutdownHook(closeEntries)
        try {
            entries.forEach { it.start() }
            val watches = entries.map {
                EntryWatch(it, changes, ticker, results::record) { SplitMix(random.nextLong()) }
            }
            awaitReady(entries)
            ChangePlan(entries, changes, random, results::begin).run(options.quick)
            watches.forEach { it.close() }
            return report(options.seed, results, entries)
        } finally {
            closeEntries.run()
            Runtime.getRuntime().removeShutdownHook(closeEntries)
        }
    }

    /** Two to four VMs with 0.3 of a core and 7 to 10 Mbit/s; the others have a whole core and 20 to 140 Mbit/s. */
    private fun shapes(options: BenchOptions, random: SplitMix): List<VmShape> {
        val count = if (options.quick) QUICK_ENTRIES else ENTRIES
        val small = (0 until count).sortedBy { random.nextLong() }.take(2 + random.nextInt(SMALL_SPREAD)).toSet()
        val cores = Runtime.getRuntime().availableProcessors()
        return List(count) { number ->
            val place = random.nextDouble()
            val core = random.nextInt(cores)
            if (number in small) {
                VmShape(SMALL_SHARE, SMALL_MBPS + place * SMALL_MBPS_SPREAD, core, random.nextDouble())
            } else {
                VmShape(1.0, LARGE_MBPS + place * LARGE_MBPS_SPREAD, core, 0.0)
            }
        }
    }

    private fun awaitReady(entries: List<EntryVm>) {
        val from = ticker.nowNs
        while (entries.any { it.readyAtNs == null }) {
            check(ticker.nowNs - from < START_LIMIT_NS) { "not all entries are ready after 60 s" }
            Thread.sleep(WARM_UP_STEP_MS)
        }
        Thread.sleep(WARM_UP_MS)
    }

    private fun report(seed: Long, results: WatchResults, entries: List<EntryVm>): BenchReport {
        val series = results.played.flatMap { series ->
            listOf(true, false).map { small ->
                val label = "${series.label}, ${if (small) "0.3 cores" else "whole cores"}"
                row(label, results.figures(series) { it.shape.small == small })
            }
        }
        val byEntry = entries.flatMap { entry ->
            val label = "${entry.name}, ${entry.shape.processorShare} cores, ${entry.shape.linkMbps.toInt()} Mbit/s"
            listOf(
                row("$label, no change", results.figures(Series.CALM) { it === entry }),
                row("$label, whole run", results.figures(null) { it === entry }),
            )
        }
        val all = results.figures(null)
        val checks = listOf(
            BenchCheck("longest wait for readiness, ms", all.readinessMs(1.0), READINESS_BOUND_MS),
            BenchCheck("last entry serves a version after, ms", all.inForceMs, BOUND_S * MS_PER_S),
            BenchCheck(ANNOUNCEMENT_CHECK, all.notFoundUntilMs, ANNOUNCEMENT_MS),
            BenchCheck("404 for a route that the entry served before", all.notFoundAgainCount.toDouble(), 0.0),
            BenchCheck("handled by an older version after the bound", all.outdatedCount.toDouble(), 0.0),
            BenchCheck("errors logged by entries", entries.sumOf { it.errorLines }.toDouble(), 0.0),
            BenchCheck(
                "largest memory of all entries together, MB",
                entries.sumOf {
                    it.peakMemoryMb
                },
                MEMORY_BOUND_MB,
            ),
        )
        val tables = listOf(
            BenchTable("Large configurations", COLUMNS, series),
            BenchTable("By entry", COLUMNS, byEntry),
            BenchTable(
                "Time for which threads waited for the processor; long where other programs run beside",
                listOf("ms"),
                entries.map { BenchRow(it.name, listOf(it.processorWaitMs)) },
            ),
        )
        return BenchReport(name, seed, tables, checks)
    }

    private fun row(label: String, figures: WatchFigures) = BenchRow(
        label,
        listOf(
            figures.readinessMs(P99),
            figures.readinessMs(1.0),
            figures.requestMs(P99),
            figures.requestMs(1.0),
            figures.inForceMs,
            figures.notFoundCount.toDouble(),
            figures.notFoundUntilMs,
            figures.outdatedCount.toDouble(),
            figures.refusedCount.toDouble(),
        ),
    )

    companion object {
        /** Time within which a version has to be in force, from the installations' documents. */
        internal const val BOUND_S = 2.5
        internal const val BOUND_NS = 2_500_000_000L

        /** Name of the check how long callers get 404 for a route that the store has. */
        internal const val ANNOUNCEMENT_CHECK = "last 404 for an added route after, ms"

        /** The platform asks once a second, and two questions without 200 take a VM out. */
        private const val READINESS_BOUND_MS = 1_000.0

        /** Entries hear of a version within this time, which the rule for 404 reckons with. */
        private const val ANNOUNCEMENT_MS = 500.0
        private const val MEMORY_BOUND_MB = 3_000.0
        private const val MS_PER_S = 1_000
        private const val P99 = 0.99
        private const val ENTRIES = 8
        private const val QUICK_ENTRIES = 6
        private const val ZONES = 2
        private const val UPSTREAMS = 2
        private const val SLOTS = 50
        private const val FIRST_ROUTES = 1_000
        private const val SMALL_SHARE = 0.3
        private const val SMALL_SPREAD = 3
        private const val SMALL_MBPS = 7.0
        private const val SMALL_MBPS_SPREAD = 3.0
        private const val LARGE_MBPS = 20.0
        private const val LARGE_MBPS_SPREAD = 120.0
        private const val START_LIMIT_NS = 60_000_000_000L
        private const val WARM_UP_STEP_MS = 100L

        /** Entries take callers by name once all have run for five seconds. */
        private const val WARM_UP_MS = 7_000L
        private val COLUMNS = listOf(
            "readiness p99 ms",
            "longest ms",
            "request p99 ms",
            "longest ms",
            "in force ms",
            "404",
            "last 404 after ms",
            "outdated",
            "refused",
        )
    }
}
