package io.poplarwood.cli.report

import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable
import io.poplarwood.entry.operator.ClassStatus
import io.poplarwood.entry.operator.StatusReport

/** Formats the report of `status` as text. */
internal object StatusTables {
    fun format(report: StatusReport): String {
        val automation = if (report.automationPaused) "paused" else "running"
        val head = "cell ${report.cell} as ${report.entry} sees it: " +
            "configuration ${report.sequence}, automation $automation"
        return listOf(head, entries(report), upstreams(report), classes(report)).joinToString("\n\n")
    }

    private fun entries(report: StatusReport) = TextTable.format(
        listOf("entry", "zone", "address", "state", "configuration", "in flight"),
        report.entries.map { listOf(it.entry, it.zone, it.address, it.state, "${it.sequence}", "${it.inFlight}") },
    )

    private fun upstreams(report: StatusReport) = TextTable.format(
        listOf("upstream", "service", "state", "in flight", "limit", "latency ms"),
        report.upstreams.map {
            listOf(it.address, it.service, it.state, "${it.inFlight}", "${it.limit}", Figures.shown(it.latencyMs))
        },
    )

    private fun classes(report: StatusReport) = TextTable.format(
        listOf("class", "rank", "target", "requests", "refused", "in time", "p99 ms", "share", "target met"),
        report.classes.map(::classRow),
    )

    private fun classRow(it: ClassStatus) = listOf(
        "${it.service}/${it.name}",
        ValueFormat.rank(it.rank),
        ValueFormat.target(it.target),
        "${it.requests}",
        "${it.refused}",
        it.servedPart?.let(ValueFormat::percent) ?: "–",
        it.p99Ms?.let(Figures::shown) ?: "–",
        it.share?.let(ValueFormat::percent) ?: "–",
        it.met?.let { met -> if (met) "yes" else "no" } ?: "–",
    )
}
