package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import io.poplarwood.bench.report.TextTable
import io.poplarwood.cli.report.ValueFormat
import kotlinx.serialization.json.Json

internal class ClassesListCommand : OperatorCommand("list") {
    private val json by option("--json", help = "Print the documents, in the format that `classes set` reads.").flag()

    override fun help(context: Context) = "Lists the classes in force and the version of each service."

    override fun run() {
        val services = call { it.classes() }
        if (json) return echo(PRETTY.encodeToString(services))
        val rows = services.flatMap { service ->
            service.document.classes.map {
                listOf(
                    "${service.document.service}",
                    "${service.version}",
                    "${it.name}",
                    ValueFormat.rank(it.rank),
                    ValueFormat.target(it.target),
                )
            }
        }
        echo(TextTable.format(listOf("service", "version", "class", "rank", "target"), rows))
    }

    private companion object {
        val PRETTY = Json { prettyPrint = true }
    }
}
