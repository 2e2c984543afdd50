package io.poplarwood.bench.report

import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.api.BenchTable
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64

/** One HTML page with tables, checks and plots; images are inside the page. */
object HtmlReport {
    /** Writes `index.html` into [directory], which is made if need be, and returns its path. */
    fun write(directory: Path, reports: List<BenchReport>): Path {
        Files.createDirectories(directory)
        return Files.writeString(directory.resolve("index.html"), page(reports))
    }

    private fun page(reports: List<BenchReport>): String = buildString {
        append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Measurements</title><style>")
        append("body{font:15px sans-serif;margin:2em auto;max-width:60em}table{border-collapse:collapse;margin:1em 0}")
        append("td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,th:first-child")
        append("{text-align:left}.missed{background:#fdd}img{max-width:100%}</style></head><body>")
        for (report in reports) append(section(report))
        append("</body></html>\n")
    }

    private fun section(report: BenchReport): String = buildString {
        append("<h1>${escape(report.name)}</h1><p>Seed ${report.seed}.</p>")
        if (report.checks.isNotEmpty()) append(checks(report.checks))
        report.tables.forEach { append(table(it)) }
        for (plot in report.plots) {
            val image = Base64.getEncoder().encodeToString(Charts.png(plot))
            append("<p><img alt=\"${escape(plot.title)}\" src=\"data:image/png;base64,$image\"></p>")
        }
    }

    private fun checks(checks: List<BenchCheck>): String = buildString {
        append("<table><tr><th>check</th><th>value</th><th>bound</th><th>met</th></tr>")
        for (check in checks) {
            val sign = if (check.atMost) "≤" else "≥"
            append(if (check.met) "<tr>" else "<tr class=\"missed\">")
            append("<td>${escape(check.name)}</td><td>${Figures.shown(check.value)}</td>")
            append("<td>$sign ${Figures.shown(check.bound)}</td><td>${if (check.met) "yes" else "no"}</td></tr>")
        }
        append("</table>")
    }

    private fun table(table: BenchTable): String = buildString {
        append("<h2>${escape(table.title)}</h2><table><tr><th></th>")
        table.columns.forEach { append("<th>${escape(it)}</th>") }
        append("</tr>")
        for (row in table.rows) {
            append("<tr><td>${escape(row.label)}</td>")
            row.values.forEach { append("<td>${Figures.shown(it)}</td>") }
            append("</tr>")
        }
        append("</table>")
    }

    private fun escape(text: String) =
        text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")
}
