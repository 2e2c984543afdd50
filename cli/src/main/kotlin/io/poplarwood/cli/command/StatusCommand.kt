package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import io.poplarwood.cli.report.StatusTables
import kotlinx.serialization.json.Json

internal class StatusCommand : OperatorCommand("status") {
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context) = "Shows entries, upstreams and classes as one entry sees them."

    override fun run() {
        val report = call { it.status() }
        echo(if (json) Json.encodeToString(report) else StatusTables.format(report))
    }
}
