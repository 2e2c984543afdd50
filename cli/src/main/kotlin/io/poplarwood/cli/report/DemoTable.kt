package io.poplarwood.cli.report

import io.poplarwood.bench.demo.DemoReport
import io.poplarwood.bench.load.LoadReport
import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable

/** Text of a demo's report. */
internal object DemoTable {
    fun format(report: DemoReport): String {
        val columns = listOf("class", "sent", "served", "p50 ms", "p99 ms", "p999 ms", "in time", "target met", "wrong")
        val reasons = report.classes.flatMap { of ->
            listOf("refused" to of.refused, "unknown" to of.unknown, "failed" to of.failed)
                .filter { it.second.isNotEmpty() }
                .map { (what, counts) -> "${of.name} $what: ${Shown.counts(counts)}" }
        }
        val ends = listOf(
            "retried, all classes: ${Shown.counts(report.retried)}",
            "upstream crashes: ${report.crashes}; idempotency keys that ran twice: ${report.doubleRuns}",
        )
        return listOf(TextTable.format(columns, report.classes.map(::row)), (reasons + ends).joinToString("\n"))
            .joinToString("\n\n")
    }

    private fun row(it: LoadReport) = listOf(
        it.name,
        "${it.sent}",
        "${it.served}",
        Figures.shown(it.p50Ms),
        Figures.shown(it.p99Ms),
        Figures.shown(it.p999Ms),
        it.servedInTimePart?.let(Shown::percent) ?: "–",
        it.targetMet?.let { met -> if (met) "yes" else "no" } ?: "–",
        "${it.wrong}",
    )
}
