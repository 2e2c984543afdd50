package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.bench.report.HtmlReport
import io.poplarwood.cli.CommandLine
import io.poplarwood.cli.report.BenchTables
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json

internal class BenchCommand(private val benches: List<Bench>) : CliktCommand("bench") {
    private val names by argument("NAME").multiple()
    private val list by option("--list", help = "List the benchmarks and exit.").flag()
    private val seed by option(
        "--seed",
        metavar = "N",
        help = "Seed of all random numbers (default 1).",
    ).long().default(1)
    private val quick by option("--quick", help = "Take fewer samples.").flag()
    private val json by option("--json", help = "Print one JSON object on standard output.").flag()
    private val report by option(
        "--report",
        metavar = "DIR",
        help = "Write an HTML page with tables and plots to this directory.",
    ).path(canBeFile = false)

    override fun help(context: Context) = "Runs all benchmarks, or those named. Exits with 1 if a target is missed."

    override fun run() {
        if (list) return benches.forEach { echo("${it.name.padEnd(NAME_WIDTH)} ${it.summary}") }
        val reports = selected().map { bench ->
            echo("running ${bench.name}", err = true)
            runBlocking { bench.run(BenchOptions(seed, quick)) }
        }
        echo(
            if (json) {
                JSON.encodeToString(
                    mapOf("reports" to reports),
                )
            } else {
                reports.joinToString("\n\n", transform = BenchTables::format)
            },
        )
        report?.let { echo("report: ${HtmlReport.write(it, reports)}", err = true) }
        if (reports.any { !meetsTargets(it) }) throw ProgramResult(CommandLine.FAILED)
    }

    private fun selected(): List<Bench> {
        val known = benches.map { it.name }
        val unknown = names - known.toSet()
        if (unknown.isNotEmpty()) {
            throw UsageError("unknown benchmark ${unknown.joinToString()}; known: ${known.joinToString()}", "NAME")
        }
        return if (names.isEmpty()) benches else benches.filter { it.name in names }
    }

    private fun meetsTargets(report: BenchReport) = report.checks.all { it.met }

    private companion object {
        const val NAME_WIDTH = 12

        /** Values that do not apply are NaN, which standard JSON lacks. */
        val JSON = Json { allowSpecialFloatingPointValues = true }
    }
}
