package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.onFailure
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.settings.SettingsReader

internal class CheckCommand : CliktCommand("check") {
    private val file by option("--settings", metavar = "FILE").path().required()

    override fun help(context: Context) = "Checks a settings file and prints every fault."

    override fun run() {
        SettingsReader.settings(file).onFailure { faults ->
            faults.forEach { echo("$it") }
            throw ProgramResult(CommandLine.BAD_USAGE)
        }
        echo("$file: no faults")
    }
}
