package io.poplarwood.cli

import io.poplarwood.entry.runEntry
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    exitProcess(CommandLine(Wiring(::runEntry, DemoEntry.factory)).run(args.toList()))
}
