package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.cooccurring
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.inputStream
import io.poplarwood.bench.report.Figures
import io.poplarwood.bench.report.TextTable
import io.poplarwood.gateway.explain.Explanation
import io.poplarwood.gateway.explain.LogRecord
import java.io.InputStream
import java.time.Instant

internal class ExplainCommand : CliktCommand("explain") {
    private val request by argument("REQUEST-ID")
    private val operator by OperatorOptions().cooccurring()
    private val logs: List<InputStream> by option("--log", metavar = "FILE")
        .help(
            "Log of a gateway, - for standard input; repeat for several VMs. A name before a line's JSON names its VM.",
        )
        .inputStream()
        .multiple()

    override fun help(context: Context) =
        "Shows the decisions about one request, from logs of gateways or from entries; each entry keeps only its own."

    override fun run() {
        val entryOptions = operator
        when {
            logs.isNotEmpty() -> explainFromLogs()
            entryOptions != null -> explainFromEntries(entryOptions)
            else -> throw UsageError("expected --log, or --entry and --token-file")
        }
    }

    private fun explainFromLogs() {
        val records = logs.flatMapIndexed { i, log -> read(log, "log ${i + 1}") }
        val explanation = Explanation.of(request, records) ?: fail("no log line mentions $request")
        for (record in explanation.records) {
            val at = Instant.ofEpochMilli(record.atMs)
            echo("$at  ${record.source}  ${record.event}  ${record.message}: ${record.formatFields()}")
        }
        explanation.causes.forEach { echo(it) }
    }

    private fun read(log: InputStream, name: String): List<LogRecord> =
        log.bufferedReader().useLines { lines -> lines.mapNotNull { LogRecord.parse(it, name) }.toList() }

    private fun explainFromEntries(operator: OperatorOptions) {
        val report = call(operator) { it.explain(request) }
        echo("${report.requestId} at ${report.entry}: ${report.service}/${report.workClass}, ${report.outcome}")
        val rows = report.steps.map {
            listOf(it.decision, Figures.shown(it.afterMs), it.upstream ?: "–", it.reason ?: "–")
        }
        if (rows.isNotEmpty()) echo(TextTable.format(listOf("decision", "after ms", "upstream", "reason"), rows))
    }
}
