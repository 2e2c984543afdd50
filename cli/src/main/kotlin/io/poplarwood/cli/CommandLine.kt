package io.poplarwood.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.MultiUsageError
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import io.poplarwood.cli.command.AutomationCommand
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
import io.poplarwood.cli.command.SwitchCommand

/** The command line with its exit codes: 0 done, 1 a failed operation, 2 bad usage or settings. */
class CommandLine(private val wiring: Wiring) {
    /** Runs the command in [args] and returns the exit code. */
    fun run(args: List<String>): Int {
        val root = root()
        return try {
            root.parse(args)
            DONE
        } catch (e: CliktError) {
            root.echoFormattedHelp(e)
            exitCode(e)
        } catch (e: Exception) {
            // A stack trace would tell operators nothing that the message does not.
            root.echo("poplarwood: ${e.message ?: e::class.simpleName}", err = true)
            FAILED
        }
    }

    private fun exitCode(e: CliktError): Int = when (e) {
        is UsageError, is MultiUsageError -> BAD_USAGE
        is PrintHelpMessage -> if (e.error) BAD_USAGE else DONE
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
        AutomationCommand().subcommands(SwitchCommand("pause", paused = true), SwitchCommand("resume", paused = false)),
    )

    internal companion object {
        const val DONE = 0
        const val FAILED = 1
        const val BAD_USAGE = 2
    }
}
