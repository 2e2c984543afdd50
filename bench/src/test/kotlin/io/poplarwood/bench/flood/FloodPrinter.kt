package io.poplarwood.bench.flood

import io.poplarwood.bench.api.BenchReport

/** Prints a report to the test's output, for runs by hand. */
internal object FloodPrinter {
    fun print(report: BenchReport) {
        for (table in report.tables) {
            println(table.title)
            println("  " + table.columns)
            for (row in table.rows) println("  %-8s ".format(row.label) + row.values.joinToString { "%.2f".format(it) })
        }
        for (c in report.checks) {
            println("%s %s: %.3f (%.2f)".format(if (c.met) "met" else "MISSED", c.name, c.value, c.bound))
        }
    }
}
