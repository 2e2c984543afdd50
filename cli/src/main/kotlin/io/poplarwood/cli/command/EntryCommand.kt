package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.settings.EntrySettings
import io.poplarwood.entry.settings.SettingsReader

internal class EntryCommand(private val runEntry: (suspend (EntrySettings) -> Unit)?) : CliktCommand("entry") {
    private val file by option("--settings", metavar = "FILE").path().required()

    override fun help(context: Context) = "Runs an entry until SIGTERM or SIGINT, which stop it gracefully."

    override fun run() {
        val settings = SettingsReader.settings(file).getOrElse { errors ->
            errors.forEach { echo("$it", err = true) }
            throw ProgramResult(CommandLine.BAD_USAGE)
        }
        val run = runEntry ?: throw CliktError("this build does not contain the entry")
        UntilTerminated.run { run(settings) }
    }
}
