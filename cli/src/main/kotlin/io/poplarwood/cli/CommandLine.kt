package io.poplarwood.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.MultiUsageError
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import io.poplarwood.cli.command.AutomationCommand
import io.poplarwood.cli.command.AutomationSwitchCommand
import io.poplarwood.cli.command.BenchCommand
import io.poplarwood.cli.command.CheckCommand
import io.poplarwood.cli.command.ClassesCommand
import io.poplarwood.cli.command.ClassesHistoryCommand
import io.poplarwood.cli.command.ClassesListCommand
import io.poplarwood.cli.command.ClassesSetCommand
import io.poplarwood.cli.command.DemoCommand
import io.poplarwood.cli.command.EntryCommand
import io.poplarwood.cli.command.ExplainCommand
import io.poplarwood.cli.command.GatewayCommand
import io.poplarwood.cli.command.PoplarwoodCommand
import io.poplarwood.cli.command.SelfTestCommand
import io.poplarwood.cli.command.StatusCommand

/** Runs commands. Exit codes: 0 for success, 1 for a failed operation, 2 for bad usage or settings. */
class CommandLine(private val wiring: Wiring) {
    /** Runs the command in [args] and returns the exit code. */
    fun run(args: List<String>): Int {
        val root = root()
        return try {
            root.parse(args)
            SUCCESS
        } catch (e: CliktError) {
            root.echoFormattedHelp(e)
            exitCode(e)
        } catch (e: Exception) {
            // Operators get the message only: a stack trace would not help them.
            root.echo("poplarwood: ${e.message ?: e::class.simpleName}", err = true)
            FAILED
        }
    }

    private fun exitCode(e: CliktError): Int = when (e) {
        is UsageError, is MultiUsageError -> BAD_USAGE
        is PrintHelpMessage -> if (e.error) BAD_USAGE else SUCCESS
        else -> e.statusCode
    }

    private fun root(): CliktCommand = PoplarwoodCommand().subcommands(
        DemoCommand(wiring.entries),
        EntryCommand(wiring.runEntry),
        GatewayCommand(),
        SelfTestCommand(),
        CheckCommand(),
        ClassesCommand().subcommands(ClassesListCommand(), ClassesSetCommand(), ClassesHistoryCommand()),
        StatusCommand(),
        ExplainCommand(),
        BenchCommand(wiring.benches),
        AutomationCommand().subcommands(
            AutomationSwitchCommand("pause", paused = true),
            AutomationSwitchCommand("resume", paused = false),
        ),
    )

    internal companion object {
        const val SUCCESS = 0
        const val FAILED = 1
        const val BAD_USAGE = 2
    }
}
