package io.poplarwood.bench.flood

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.api.work.Rank
import io.poplarwood.api.work.Target
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import kotlin.math.max
import kotlin.time.Duration.Companion.seconds

/** What each class keeps, and how fast urgent work is, while one rank floods at three times capacity. */
class FloodBench(
    private val base: FloodSettings = FloodSettings(),
    private val router: () -> FloodRouterFactory = FloodRouterFactory::shipped,
) : Bench {
    override val name: String = "flood"
    override val summary: String = "shares, urgent latency and goodput while one rank floods at 3 times capacity"

    override suspend fun run(options: BenchOptions): BenchReport {
        val seeded = base.copy(seed = options.seed)
        val settings = if (options.quick) seeded.copy(measured = QUICK) else seeded
        val quiet = cell(settings, classes(settings))
        val low = cell(settings, classes(settings, archive = FLOOD))
        val high = cell(settings, classes(settings, checks = FLOOD))
        val failing = cell(settings.copy(lostPart = LOST), classes(settings))
        val ratio = low.urgent.latencyMs(P99) / quiet.urgent.latencyMs(P99)
        return BenchReport(
            name,
            options.seed,
            listOf(
                table("no flood", quiet),
                table("background flood", low),
                table("urgent flood", high),
                table("20% of answers lost", failing),
            ),
            listOf(
                BenchCheck("urgent p99 with background flood / without", ratio, 1.10),
                BenchCheck("share missing in background flood, percentage points", shortfall(low), 2.0),
                BenchCheck("share missing in urgent flood, percentage points", shortfall(high), 2.0),
                BenchCheck("goodput / capacity, background flood", goodput(low), 0.95, atMost = false),
                BenchCheck("goodput / capacity, urgent flood", goodput(high), 0.95, atMost = false),
                BenchCheck("slots held by uploads / slots, urgent flood", uploadShare(high), UPLOAD_BOUND),
                BenchCheck("load with retries / without, 20% of answers lost", withRetries(failing), 1.10),
            ),
        )
    }

    private fun cell(settings: FloodSettings, classes: List<FloodClass>): FloodCell =
        FloodCell(settings, classes, router()).also { it.run() }

    private fun table(title: String, cell: FloodCell): BenchTable {
        val rows = cell.tallies.map { (name, t) ->
            val work = cell.classes.first { it.spec.name == name }
            BenchRow(
                name.value,
                listOf(
                    t.offered.toDouble(),
                    t.answered.toDouble(),
                    t.refused.values.sum().toDouble(),
                    PERCENT * work.usage.heldSeconds / cell.capacitySeconds,
                    PERCENT * (work.spec.target.keepShare ?: Double.NaN),
                    t.latencyMs(0.5),
                    t.latencyMs(P99),
                    t.attempts.toDouble() / max(1, t.offered),
                    t.slowestRefusal.inWholeMilliseconds.toDouble(),
                ),
            )
        }
        return BenchTable("$title, goodput ${"%.3f".format(goodput(cell))}, sheds ${cell.sheds}", COLUMNS, rows)
    }

    /** Slot time of answers in time, as a part of all slot time; a slot is held on the way to the upstream and back. */
    private fun goodput(cell: FloodCell) = cell.classes.sumOf { it.usage.usefulSeconds } / cell.capacitySeconds

    /** The most that a class with a kept share, and with at least that much work, is below it. */
    private fun shortfall(cell: FloodCell) = cell.classes.maxOf { c ->
        val kept = c.spec.target.keepShare ?: 0.0
        val held = c.usage.heldSeconds / cell.capacitySeconds
        PERCENT * (minOf(kept, c.load) - held)
    }

    private fun uploadShare(cell: FloodCell) = cell.classes.first { it.spec.name == UPLOADS }.usage.mostHeld / SLOTS

    private fun withRetries(cell: FloodCell) =
        1 + cell.tallies.values.sumOf { it.retries }.toDouble() / cell.tallies.values.sumOf { it.firstAttempts }

    private val FloodCell.urgent get() = tallies.getValue(CHECKS)

    companion object {
        private const val FLOOD = 3.0
        private const val LOST = 0.2
        private const val P99 = 0.99
        private const val PERCENT = 100.0
        private const val SLOTS = 60.0
        private const val UPLOAD_BOUND = 0.2
        private val QUICK = 10.seconds
        private val CHECKS = ClassName("checks")
        private val UPLOADS = ClassName("uploads")
        private val COLUMNS = listOf(
            "offered",
            "answered",
            "refused",
            "slot share %",
            "kept share %",
            "p50 ms",
            "p99 ms",
            "attempts/call",
            "slowest refusal ms",
        )

        /** The classes of the first user, with the load of each as a part of the capacity. */
        internal fun classes(settings: FloodSettings, checks: Double = 0.3, archive: Double = 0.12) = listOf(
            FloodClass(
                ClassSpec(CHECKS, Rank.URGENT, Target(servedWithinMs = 250), idempotent = true, deadlineMs = 2_000),
                checks,
                1.0,
                settings,
            ),
            FloodClass(
                ClassSpec(ClassName("orders"), Rank.STANDARD, Target(keepShare = 0.2), idempotent = true),
                0.22,
                2.0,
                settings,
            ),
            FloodClass(
                ClassSpec(
                    UPLOADS,
                    Rank.STANDARD,
                    Target(keepShare = 0.1),
                    idempotent = true,
                    deadlineMs = 60_000,
                    maxSlotShare = UPLOAD_BOUND,
                ),
                0.12,
                100.0,
                settings,
            ),
            FloodClass(
                ClassSpec(ClassName("archive"), Rank.BACKGROUND, Target(keepShare = 0.1), idempotent = true),
                archive,
                3.0,
                settings,
            ),
        )
    }
}
