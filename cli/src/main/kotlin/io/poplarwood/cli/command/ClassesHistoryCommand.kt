package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context
import io.poplarwood.bench.report.TextTable
import kotlin.time.Instant

internal class ClassesHistoryCommand : OperatorCommand("history") {
    override fun help(context: Context) = "Lists the latest changes: author, time, and delay until in force everywhere."

    override fun run() {
        val rows = call { it.history() }.map {
            listOf(
                "${it.sequence}",
                it.service,
                "${it.version}",
                it.who,
                "${Instant.fromEpochMilliseconds(it.atMs)}",
                it.inForceMs?.let { ms -> "after $ms ms" } ?: "not known",
                it.changeId,
            )
        }
        val columns = listOf("sequence", "service", "version", "who", "when", "in force everywhere", "change")
        echo(TextTable.format(columns, rows))
    }
}
