package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.gateway.log.GatewayLogging
import io.poplarwood.gateway.runtime.GatewayDaemon
import io.poplarwood.gateway.settings.GatewaySettingsReader
import io.poplarwood.platform.scheme.SchemeAdapter

internal class GatewayCommand : CliktCommand("gateway") {
    private val file by option("--settings", metavar = "FILE", envvar = "POPLARWOOD_CONFIG").path().required()

    override fun help(context: Context) =
        "Runs an entry that takes its routes and upstreams from the platform's store, until it is told to stop."

    override fun run() {
        val settings = GatewaySettingsReader.read(file).getOrElse { faults ->
            faults.forEach { echo("$file: $it", err = true) }
            throw ProgramResult(CommandLine.BAD_USAGE)
        }
        GatewayLogging.enable()
        GatewayDaemon(settings, SchemeAdapter, file).run()
    }
}
