package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

internal class AutomationCommand : CliktCommand("automation") {
    override fun help(context: Context) = "Pauses and resumes ejection and moves of capacity."

    override fun run() = Unit
}
