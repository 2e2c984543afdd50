package io.poplarwood.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.poplarwood.bench.demo.Demo
import io.poplarwood.bench.demo.EntryFactory
import io.poplarwood.cli.report.DemoTable
import io.poplarwood.standins.net.monotonicTicker
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.nio.file.Files
import kotlin.time.Duration.Companion.seconds

internal class DemoCommand(private val entries: EntryFactory?) : CliktCommand("demo") {
    private val durationS by option("--seconds", metavar = "N").help("Duration of the load in seconds (default 12).")
        .int().restrictTo(3, 3_600).default(DEFAULT_SECONDS)
    private val json by option("--json", help = "Print one JSON object on standard output.").flag()

    override fun help(context: Context) =
        "Runs a cell in this process under load, with a flood and a crash, and shows the results of each class."

    override fun run() {
        val factory = entries ?: throw CliktError("this build does not contain the entry")
        val directory = Files.createTempDirectory("poplarwood-demo")
        try {
            val demo = Demo(factory, directory, monotonicTicker(), SEED) { echo(it, err = true) }
            val report = runBlocking { demo.run(durationS.seconds) }
            echo(if (json) Json.encodeToString(report) else DemoTable.format(report))
        } finally {
            directory.toFile().deleteRecursively()
        }
    }

    private companion object {
        const val DEFAULT_SECONDS = 12
        const val SEED = 1L
    }
}
