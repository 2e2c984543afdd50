package io.poplarwood.cli

import io.poplarwood.entry.runEntry
import kotlin.system.exitProcess

/** Starts the command line. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(Wiring(::runEntry, DemoEntry.factory)).run(args.toList()))
}
