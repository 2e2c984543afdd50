package io.poplarwood.bench.restores

import io.poplarwood.api.random.SplitMix
import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.bench.configurations.ConfigurationChanges
import io.poplarwood.bench.configurations.EntryVm
import io.poplarwood.bench.configurations.EntryWatch
import io.poplarwood.bench.configurations.ProcessorShare
import io.poplarwood.bench.configurations.Sample
import io.poplarwood.bench.configurations.VmShape
import io.poplarwood.bench.configurations.nowNs
import io.poplarwood.platform.standin.Reaction
import io.poplarwood.platform.standin.StandInCell
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue

/** A store that comes back from older copies again and again, at entries that are processes. */
class RestoresBench(private val ticker: Ticker) : Bench {
    override val name = "restores"
    override val summary = "changes and draining upstreams at entries whose store comes back from older copies"

    override suspend fun run(options: BenchOptions): BenchReport {
        val directory = Files.createTempDirectory("poplarwood-restores")
        val report = StandInCell().use { cell -> ProcessorShare().use { play(options, cell, it, directory) } }
        if (report.checks.all { it.met }) {
            directory.toFile().deleteRecursively()
        } else {
            System.err.println("logs of the entries: $directory")
        }
        return report
    }

    private fun play(options: BenchOptions, cell: StandInCell, shares: ProcessorShare, directory: Path): BenchReport {
        val random = SplitMix(options.seed)
        for (service in listOf("s1", "s2")) {
            repeat(UPSTREAMS) { number ->
                cell.startUpstream("$service-$number", service) { Reaction.reply(it, body = service) }
            }
        }
        val leaving = LeavingUpstreams(cell, ticker).apply { start(LEAVING, "s1") }
        val changes = ConfigurationChanges(cell, ticker).apply { add(FIRST_ROUTES) }
        val samples = ConcurrentLinkedQueue<Sample>()
        val entries = List(ENTRIES) {
            EntryVm("e$it", "z${it % ZONES + 1}", VmShape(1.0, LINK_MBPS, 0, 0.0), cell, shares, directory)
        }
        val closeEntries = Thread { entries.forEach { it.close() } }
        Runtime.getRuntime().addShutdownHook(closeEntries)
        try {
            entries.forEach { it.start() }
            val watches = entries.map { EntryWatch(it, changes, ticker, samples::add) { SplitMix(random.nextLong()) } }
            awaitReady(entries)
            samples.clear()
            val plan = RestorePlan(entries, cell.store, changes, leaving, random)
            plan.run(if (options.quick) QUICK_STEPS else STEPS)
            val calls = callsPerSecond(cell)
            watches.forEach { it.close() }
            val errors = BenchCheck("errors logged by entries", entries.sumOf { it.errorLines }.toDouble(), 0.0)
            val report = report(options.seed, plan.restores, samples.toList(), leaving.lateRequests, calls)
            return report.copy(checks = report.checks + errors)
        } finally {
            closeEntries.run()
            Runtime.getRuntime().removeShutdownHook(closeEntries)
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

    /** Calls to the store a second, while nothing changes. */
    private fun callsPerSecond(cell: StandInCell): Double {
        val before = cell.store.requestCount
        Thread.sleep(CALM_MS)
        return (cell.store.requestCount - before) * MS_PER_S / CALM_MS
    }

    private fun report(
        seed: Long,
        restores: Int,
        samples: List<Sample>,
        lateRequests: Int,
        calls: Double,
    ): BenchReport {
        val settled = samples.filter { it.sentNs - it.readyAtNs > STABLE_NS }
        val newest = samples.mapNotNull { it.version }.maxBy { it.number }
        val last = settled.filter { it.version === newest && it.status == Sample.OK }.map { it.entry.name }.toSet()
        val outdated = settled.filter { it.outdated }
        val figures = listOf(restores.toDouble(), settled.size.toDouble(), outdated.size.toDouble(), calls)
        val columns = listOf("restores", "requests", "outdated", "calls/s after it")
        val byEntry = outdated.groupingBy { it.entry.name }.eachCount()
        return BenchReport(
            name,
            seed,
            listOf(
                BenchTable("A store that comes back older", columns, listOf(BenchRow("whole run", figures))),
                BenchTable(
                    "Outdated",
                    listOf("requests"),
                    byEntry.map {
                        BenchRow(it.key, listOf(it.value.toDouble()))
                    },
                ),
            ),
            listOf(
                BenchCheck("handled by an older version after the bound", outdated.size.toDouble(), 0.0),
                BenchCheck("entries without the last version", (ENTRIES - last.size).toDouble(), 0.0),
                BenchCheck("late requests at draining upstreams", lateRequests.toDouble(), 0.0),
                BenchCheck("calls to the store per second after it", calls, MAX_CALLS_PER_S),
            ),
        )
    }

    private companion object {
        const val ENTRIES = 5
        const val ZONES = 2
        const val UPSTREAMS = 3
        const val LEAVING = 6
        const val FIRST_ROUTES = 20
        const val LINK_MBPS = 100.0
        const val STEPS = 12
        const val QUICK_STEPS = 4
        const val START_LIMIT_NS = 60_000_000_000L
        const val WARM_UP_STEP_MS = 100L

        /** Entries take callers by name once all have run for five seconds. */
        const val WARM_UP_MS = 7_000L
        const val CALM_MS = 3_000L
        const val MS_PER_S = 1_000.0

        /** `stable-s`: an entry that has started has to have what the others have after this time. */
        const val STABLE_NS = 3_000_000_000L

        /** Two followers in each zone, each with a call in 800 ms for each of two topics, twice as many at most. */
        const val MAX_CALLS_PER_S = 20.0
    }
}
