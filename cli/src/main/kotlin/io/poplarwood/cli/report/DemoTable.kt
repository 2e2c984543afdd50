package io.poplarwood.cli.report

import io.poplarwood.bench.demo.DemoReport
import io.poplarwood.bench.load.LoadReport
import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable

/** Formats the report of a demo as text. */
internal object DemoTable {
    fun format(report: DemoReport): String {
        val columns = listOf("class", "sent", "served", "p50 ms", "p99 ms", "p999 ms", "in time", "target met", "wrong")
        val reasons = report.classes.flatMap { load ->
            listOf("refused" to load.refused, "unknown" to load.unknown, "failed" to load.failed)
                .filter { it.second.isNotEmpty() }
                .map { (outcome, counts) -> "${load.name} $outcome: ${ValueFormat.counts(counts)}" }
        }
        val totals = listOf(
            "retried, all classes: ${ValueFormat.counts(report.retried)}",
            "upstream crashes: ${report.crashes}; idempotency keys that ran twice: ${report.doubleRuns}",
        )
        return listOf(TextTable.format(columns, report.classes.map(::row)), (reasons + totals).joinToString("\n"))
            .joinToString("\n\n")
    }

    private fun row(it: LoadReport) = listOf(
        it.name,
        "${it.sent}",
        "${it.served}",
        Figures.shown(it.p50Ms),
        Figures.shown(it.p99Ms),
        Figures.shown(it.p999Ms),
        it.servedInTimePart?.let(ValueFormat::percent) ?: "–",
        it.targetMet?.let { met -> if (met) "yes" else "no" } ?: "–",
        "${it.wrong}",
    )
}
