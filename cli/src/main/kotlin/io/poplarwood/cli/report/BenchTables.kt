package io.poplarwood.cli.report

import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable

/** Formats the tables and checks of a benchmark as text. */
internal object BenchTables {
    fun format(report: BenchReport): String {
        val tables = report.tables.map { table ->
            val rows = table.rows.map { row -> listOf(row.label) + row.values.map(Figures::shown) }
            "${table.title}\n${TextTable.format(listOf("") + table.columns, rows)}"
        }
        return (listOf("${report.name}, seed ${report.seed}") + tables + checks(report)).joinToString("\n\n")
    }

    private fun checks(report: BenchReport): List<String> {
        if (report.checks.isEmpty()) return emptyList()
        val rows = report.checks.map {
            val comparison = if (it.atMost) "at most" else "at least"
            listOf(
                it.name,
                Figures.shown(it.value),
                "$comparison ${Figures.shown(it.bound)}",
                if (it.met) "met" else "missed",
            )
        }
        return listOf(TextTable.format(listOf("check", "value", "bound", ""), rows))
    }
}
