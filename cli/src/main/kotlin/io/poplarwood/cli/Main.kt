package io.poplarwood.cli

import kotlin.system.exitProcess

/** Starts the command line. */
fun main(args: Array<String>) {
    exitProcess(CommandLine(Wiring()).run(args.toList()))
}
