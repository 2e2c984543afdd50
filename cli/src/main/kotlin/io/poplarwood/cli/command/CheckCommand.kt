package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getError
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.settings.SettingsReader
import io.poplarwood.gateway.settings.GatewaySettingsReader

internal class CheckCommand : CliktCommand("check") {
    private val file by option("--settings", metavar = "FILE").path().required()
    private val gateway by option("--gateway").help("The file holds the settings of a gateway.").flag()

    override fun help(context: Context) = "Checks a settings file and prints every error."

    override fun run() {
        val errors = if (gateway) {
            GatewaySettingsReader.read(file).getError().orEmpty()
        } else {
            SettingsReader.settings(file).getError().orEmpty().map { "$it" }
        }
        errors.forEach { echo(it) }
        if (errors.isNotEmpty()) throw ProgramResult(CommandLine.BAD_USAGE)
        echo("$file: no errors")
    }
}
