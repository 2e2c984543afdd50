package io.poplarwood.daemon

import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.platform.standin.StandInCell
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A gateway in its own process that cannot start. */
class GatewayStartSpec {
    @TempDir
    private lateinit var directory: Path

    private fun start(settings: GatewaySettings, output: Path): Process {
        val file = directory.resolve("gateway.jsonc")
        file.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java, "-cp", System.getProperty("java.class.path"), MAIN_CLASS, "gateway", "--settings")
        return ProcessBuilder(command + file.toString()).redirectOutput(output.toFile())
            .redirectError(directory.resolve("errors").toFile()).start()
    }

    private fun assertEndsWithOneLine(taken: (GatewaySettings) -> String) = StandInCell().use { cell ->
        cell.startUpstream("u1")
        cell.putDesiredState(1, StandInCell.routeJson("/read/"))
        val settings = cell.settings("e1")
        val output = directory.resolve("output")
        val address = taken(settings)
        ServerSocket(address.substringAfter(':').toInt(), 1, InetAddress.getByName(address.substringBefore(':'))).use {
            val process = start(settings, output)
            try {
                awaitLine(process, output)
                assertTrue(process.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS), "runs $END_TIMEOUT_S s after its line")
                assertEquals(1, process.exitValue())
                val line = output.readLines().single()
                assertTrue("PW-6009" in line && address in line, line)
            } finally {
                process.destroyForcibly()
            }
        }
    }

    /** Waits for the first line, since the start of the Java runtime takes longer on a busy machine. */
    private fun awaitLine(process: Process, output: Path) {
        repeat(MAX_POLLS) {
            if (!process.isAlive || output.readText().endsWith("\n")) return
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    @Nested
    inner class `a gateway ends with status 1 within two seconds of its only log line` {
        /** Guards against a process that neither serves nor ends, which no supervisor restarts. */
        @Test
        fun `when the address for callers is in use`() = assertEndsWithOneLine { it.listen.callers }

        /** Guards against an entry that takes callers but cannot be asked for its state. */
        @Test
        fun `when another of its addresses is in use`() = assertEndsWithOneLine { it.listen.metrics }
    }

    private companion object {
        const val MAIN_CLASS = "io.poplarwood.daemon.MainKt"
        const val END_TIMEOUT_S = 2L
        const val MAX_POLLS = 1_000
        const val POLL_INTERVAL_MS = 20L
    }
}
