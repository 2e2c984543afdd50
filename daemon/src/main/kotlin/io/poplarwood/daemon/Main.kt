package io.poplarwood.daemon

import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_FAILED = 1
private const val EXIT_BAD_USAGE = 2
private const val USAGE = "usage: gateway [--settings FILE] (default: the file named in POPLARWOOD_CONFIG), or selftest"

/**
 * Runs a gateway as `poplarwood gateway` does, from a jar without the other commands, so that it starts sooner. Exits
 * with status 1 after a failure and 2 after bad usage or settings.
 */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("selftest"))) exitProcess(selfTest())
    val file = settingsFile(args.toList())
    if (file == null) {
        System.err.println(USAGE)
        exitProcess(EXIT_BAD_USAGE)
    }
    val status = when (GatewayRunner.run(Path.of(file)) { System.err.println(it) }) {
        GatewayEnd.STOPPED -> 0
        GatewayEnd.BAD_SETTINGS -> EXIT_BAD_USAGE
        GatewayEnd.START_FAILED -> EXIT_FAILED
    }
    exitProcess(status)
}

private fun settingsFile(args: List<String>): String? = when {
    args.size == 1 && args[0] == "gateway" -> System.getenv("POPLARWOOD_CONFIG")
    args.size == 3 && args[0] == "gateway" && args[1] == "--settings" -> args[2]
    else -> null
}

private fun selfTest(): Int {
    val served = SelfTest.run()
    System.err.println("selftest: $served of ${SelfTest.REQUESTS} requests answered")
    return if (served == SelfTest.REQUESTS) 0 else EXIT_FAILED
}
