package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.poplarwood.cli.CommandLine
import io.poplarwood.entry.operator.ChangeOutcome
import io.poplarwood.entry.settings.SettingsReader
import java.nio.file.Files

internal class ClassesSetCommand : OperatorCommand("set") {
    private val service by argument("SERVICE")
    private val file by argument("FILE").path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val expected by option("--expect-version", metavar = "N")
        .help("Version shown by `classes list`, 0 for a new service; the change is refused if another is in force.")
        .long().required()
    private val wait by option("--wait").help("Wait until every entry that takes work has the change.").flag()

    override fun help(context: Context) = "Replaces the classes of a service with those in a file."

    override fun run() {
        val document = SettingsReader.document(file).getOrElse { errors ->
            errors.forEach { echo("$file: $it", err = true) }
            throw ProgramResult(CommandLine.BAD_USAGE)
        }
        if (document.service.value != service) {
            throw UsageError("$file is for service ${document.service}", "SERVICE")
        }
        report(call { it.change(document.service, Files.readString(file), expected, wait) })
    }

    private fun report(outcome: ChangeOutcome) = when (outcome) {
        is ChangeOutcome.Accepted -> accepted(outcome)
        is ChangeOutcome.Conflict -> {
            echo("refused: version ${outcome.winner?.version ?: 0} is in force, not $expected", err = true)
            outcome.changed.forEach {
                echo("  ${it.path}: ${it.before ?: "absent"} -> ${it.after ?: "absent"}", err = true)
            }
            throw ProgramResult(CommandLine.FAILED)
        }
        is ChangeOutcome.Invalid -> {
            outcome.faults.forEach { echo("${it.path}: found ${it.found}; allowed: ${it.allowed}", err = true) }
            throw ProgramResult(CommandLine.BAD_USAGE)
        }
        is ChangeOutcome.Unavailable -> fail("not accepted: ${outcome.reason}; nothing was written")
        is ChangeOutcome.Unknown ->
            fail("unknown whether the change was written; look for ${outcome.changeId} in `classes history`")
    }

    private fun accepted(outcome: ChangeOutcome.Accepted) {
        val where = if (outcome.everywhere) "in force everywhere" else "accepted, not yet confirmed everywhere"
        echo("$service version ${outcome.version}, sequence ${outcome.sequence}: $where")
        if (wait && !outcome.everywhere) throw ProgramResult(CommandLine.FAILED)
    }
}
