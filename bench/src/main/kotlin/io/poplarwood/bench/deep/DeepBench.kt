package io.poplarwood.bench.deep

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import io.poplarwood.bench.virtual.EventLoop
import io.poplarwood.decision.dispatch.DispatcherSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load that retries add at each level of calls up to 11 deep. */
class DeepBench : Bench {
    override val name: String = "deep"
    override val summary: String = "load added by retries in chains of calls up to 11 deep"

    override suspend fun run(options: BenchOptions): BenchReport {
        val measured = CASES.map { it to measure(options, it) }
        val rows = measured.map { (case, figures) -> BenchRow(case.label, figures) }
        val checks = measured.filter { (case, _) -> case.shipped }
            .map { (case, figures) -> BenchCheck("busiest level, ${case.label}", figures[1], MOST_LOAD) }
        val columns = listOf("first level, attempts per call", "busiest level", "calls answered, part")
        return BenchReport(name, options.seed, listOf(BenchTable("Chain of 11 levels", columns, rows)), checks)
    }

    private fun measure(options: BenchOptions, case: Case): List<Double> {
        val loop = EventLoop()
        val settings = DispatcherSettings(retryShare = case.budget)
        val chain = Chain(loop, DEPTH, case.lost, case.levels, settings, options.seed)
        val calls = if (options.quick) QUICK_CALLS else CALLS
        var answered = 0
        repeat(calls) { n -> loop.after(EVERY * n) { chain.call(0) { if (it) answered++ } } }
        loop.runUntil(EVERY * calls + SETTLE)
        val most = chain.attempts.max().toDouble()
        return listOf(chain.attempts[0].toDouble() / calls, most / calls, answered.toDouble() / calls)
    }

    /** @property budget retries allowed for each success */
    private class Case(val lost: Double, val levels: RetryLevels, val budget: Double) {
        val shipped = levels == RetryLevels.OUTERMOST && budget == SHIPPED_BUDGET
        val label: String
            get() {
                val limit = if (budget >= 1) "no budget" else "budget ${percent(budget)}"
                return "${percent(lost)} of attempts lost, ${levels.name.lowercase()} retries, $limit"
            }

        private fun percent(part: Double) = "${(part * 100).toInt()}%"
    }

    private companion object {
        const val DEPTH = 11
        const val CALLS = 4_000
        const val QUICK_CALLS = 400
        val EVERY: Duration = 5.milliseconds
        val SETTLE = 60.seconds
        val SHIPPED_BUDGET = DispatcherSettings().retryShare

        /** More retries for a success than a call has attempts. */
        const val NO_BUDGET = 10.0
        val CASES = listOf(0.01, 0.2).flatMap { lost ->
            RetryLevels.entries.flatMap { listOf(Case(lost, it, SHIPPED_BUDGET), Case(lost, it, NO_BUDGET)) }
        }

        /** Added load of at most 10% when 20% of attempts fail. */
        const val MOST_LOAD = 1.1
    }
}
