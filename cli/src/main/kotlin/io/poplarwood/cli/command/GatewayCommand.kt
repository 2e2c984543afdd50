package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.poplarwood.cli.CommandLine
import io.poplarwood.daemon.GatewayEnd
import io.poplarwood.daemon.GatewayRunner

internal class GatewayCommand : CliktCommand("gateway") {
    private val file by option("--settings", metavar = "FILE", envvar = "POPLARWOOD_CONFIG").path().required()

    override fun help(context: Context) =
        "Runs a gateway, an entry with routes and upstreams from the platform's store, until SIGTERM or SIGINT."

    override fun run() {
        when (GatewayRunner.run(file) { echo(it, err = true) }) {
            GatewayEnd.STOPPED -> Unit
            GatewayEnd.BAD_SETTINGS -> throw ProgramResult(CommandLine.BAD_USAGE)
            GatewayEnd.START_FAILED -> throw ProgramResult(CommandLine.FAILED)
        }
    }
}
