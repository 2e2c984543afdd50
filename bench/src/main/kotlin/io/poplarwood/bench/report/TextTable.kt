package io.poplarwood.bench.report

/** Columns aligned with spaces: the first to the left, the others to the right. */
object TextTable {
    /** Lines of a table with [columns] above [rows]; each row has as many cells as there are columns. */
    fun format(columns: List<String>, rows: List<List<String>>): String {
        val all = listOf(columns) + rows
        val widths = columns.indices.map { i -> all.maxOf { it[i].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { i, cell -> if (i == 0) cell.padEnd(widths[i]) else cell.padStart(widths[i]) }
                .joinToString("  ").trimEnd()
        }
    }
}
