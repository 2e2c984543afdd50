package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

internal class PoplarwoodCommand : CliktCommand("poplarwood") {
    override fun help(context: Context) = "Load balancer for fleets whose load changes within milliseconds."

    override fun run() = Unit
}
