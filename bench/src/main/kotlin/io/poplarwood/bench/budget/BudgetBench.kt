package io.poplarwood.bench.budget

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.budget.ProbeBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Probes per second of a fleet against the operators' budget, while entries join, leave, pause and disagree. */
class BudgetBench : Bench {
    override val name: String = "budget"
    override val summary: String = "probes per second against the budget while entries join, leave and pause"

    override suspend fun run(options: BenchOptions): BenchReport {
        val length = if (options.quick) QUICK else LENGTH
        val rows = ArrayList<BenchRow>()
        val checks = ArrayList<BenchCheck>()
        for (t in TROUBLES) {
            val shipped = probes(options.seed, t, length) { loop, seat ->
                val budget = ProbeBudget(SEATS, seat, loop)
                ProbeLimiter { budget.tryTake(PER_SECOND) }
            }
            val byView = probes(options.seed, t, length) { loop, seat -> bucketByView(loop, seat) }
            rows += row("${t.name}, share of the configured maximum", shipped, length)
            rows += row("${t.name}, token bucket by the view of the live entries", byView, length)
            checks += BenchCheck("most probes in one second, ${t.name}", most(shipped).toDouble(), PER_SECOND)
        }
        val columns = listOf("mean probes/s", "most probes in any second", "budget probes/s")
        return BenchReport(name, options.seed, listOf(BenchTable("probes", columns, rows)), checks)
    }

    private fun probes(
        seed: Long,
        trouble: Trouble,
        length: Duration,
        limiter: (EventLoop, Int) -> ProbeLimiter,
    ): List<Duration> = ProbingFleet(SEATS, trouble, seed, limiter).also { it.run(length) }.sent

    /** The usual way, for comparison: a token bucket of one second, divided by an entry's view; half see half. */
    private fun bucketByView(loop: EventLoop, seat: Int): ProbeLimiter {
        val seen = if (seat % 2 == 0) SEATS else SEATS / 2
        val rate = PER_SECOND / seen
        var tokens = rate
        var at = loop.now()
        return ProbeLimiter {
            tokens = minOf(maxOf(rate, 1.0), tokens + (loop.now() - at).toDouble(DurationUnit.SECONDS) * rate)
            at = loop.now()
            (tokens >= 1.0).also { if (it) tokens -= 1.0 }
        }
    }

    private fun row(label: String, sent: List<Duration>, length: Duration) =
        BenchRow(label, listOf(sent.size / length.toDouble(DurationUnit.SECONDS), most(sent).toDouble(), PER_SECOND))

    /** The most probes that left within any window of one second. */
    private fun most(sent: List<Duration>): Int {
        var first = 0
        var most = 0
        for (last in sent.indices) {
            while (sent[last] - sent[first] >= 1.seconds) first++
            most = maxOf(most, last - first + 1)
        }
        return most
    }

    private companion object {
        const val SEATS = 16
        const val PER_SECOND = 20.0
        val QUICK = 60.seconds
        val LENGTH = 1_000.seconds
        val TROUBLES = listOf(
            Trouble("steady"),
            Trouble("joining and leaving", changesPerTick = 0.002),
            Trouble("pausing", pausesPerTick = 0.002),
            Trouble("all at once", changesPerTick = 0.002, pausesPerTick = 0.002),
        )
    }
}
