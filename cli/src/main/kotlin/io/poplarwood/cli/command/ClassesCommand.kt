package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

internal class ClassesCommand : CliktCommand("classes") {
    override fun help(context: Context) = "Shows and changes work classes and their targets."

    override fun run() = Unit
}
