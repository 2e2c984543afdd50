package io.poplarwood.bench.answers

import io.poplarwood.api.time.Ticker
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchRow
import io.poplarwood.bench.api.BenchTable
import java.nio.file.Files

/** Whether callers get the answers to their own sendings while upstreams send answers twice; entries are processes. */
class AnswersBench(private val ticker: Ticker) : Bench {
    override val name = "answers"
    override val summary = "answers that upstreams send a second time, late, at callers that repeat ids"

    override suspend fun run(options: BenchOptions): BenchReport {
        val directory = Files.createTempDirectory("poplarwood-answers")
        val durationNs = if (options.quick) QUICK_NS else LONG_NS
        val found = AnswersCase.ALL.mapIndexed { number, case ->
            AnswersRun(case, options.seed * CASES_PER_SEED + number, ticker, directory).use {
                case to
                    it.play(durationNs)
            }
        }
        for ((case, findings) in found) findings.examples(EXAMPLES).forEach { System.err.println("${case.name}: $it") }
        val table = BenchTable("Answers by case", COLUMNS, found.map { (case, findings) -> row(case, findings) })
        val report = BenchReport(name, options.seed, listOf(table), found.flatMap { (case, it) -> checks(case, it) })
        if (report.checks.all { it.met }) {
            directory.toFile().deleteRecursively()
        } else {
            System.err.println("logs of the entries: $directory")
        }
        return report
    }

    private fun row(case: AnswersCase, found: AnswerFindings): BenchRow {
        val figures = listOf(
            found.sent,
            found.served,
            found.connections,
            found.otherRequests.size,
            found.earlierRuns.size,
            found.otherStatus.size,
            found.brokenPromises.size,
            found.runTwice.size,
        )
        return BenchRow(case.name, figures.map { it.toDouble() })
    }

    private fun checks(case: AnswersCase, found: AnswerFindings): List<BenchCheck> {
        val counts = listOf(
            "answers to another request" to found.otherRequests.size,
            "answers of an earlier run" to found.earlierRuns.size,
            "answers of another status" to found.otherStatus.size,
            "promises broken" to found.brokenPromises.size,
            "run twice" to found.runTwice.size,
            "errors logged by entries" to found.errors,
        )
        return counts.map { (name, count) -> BenchCheck("${case.name}: $name", count.toDouble(), 0.0) }
    }

    private companion object {
        const val CASES_PER_SEED = 16
        const val EXAMPLES = 6
        const val QUICK_NS = 5_000_000_000L
        const val LONG_NS = 25_000_000_000L
        val COLUMNS = listOf(
            "sent",
            "served",
            "connections",
            "other request",
            "earlier run",
            "other status",
            "promise broken",
            "run twice",
        )
    }
}
