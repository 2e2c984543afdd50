package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable

internal class ExplainCommand : OperatorCommand("explain") {
    private val request by argument("REQUEST-ID")

    override fun help(context: Context) = "Shows the decisions about one request; name all entries, each keeps its own."

    override fun run() {
        val report = ask { it.explain(request) }
        echo("${report.requestId} at ${report.entry}: ${report.service}/${report.workClass}, ${report.outcome}")
        val rows = report.steps.map {
            listOf(it.decision, Figures.shown(it.afterMs), it.upstream ?: "–", it.reason ?: "–")
        }
        if (rows.isNotEmpty()) echo(TextTable.format(listOf("decision", "after ms", "upstream", "reason"), rows))
    }
}
