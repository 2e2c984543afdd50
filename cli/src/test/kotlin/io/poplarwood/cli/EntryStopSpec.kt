package io.poplarwood.cli

import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An entry in its own process, stopped by a signal. */
class EntryStopSpec {
    @TempDir
    private lateinit var directory: Path

    private fun settings(): Path {
        val tokens = directory.resolve("tokens").also { it.writeText("token\n") }
        val secret = directory.resolve("secret").also { it.writeText("0123456789abcdef0123456789abcdef") }
        return directory.resolve("entry.jsonc").also {
            it.writeText(
                """
                {
                  "entry": "e1", "cell": "c1", "zone": "a",
                  "callers": { "host": "127.0.0.1", "port": ${freePort()} },
                  "callersAdvertised": "127.0.0.1:1",
                  "operators": { "address": "127.0.0.1:${freePort()}", "tokenFile": "$tokens" },
                  "peers": { "address": "127.0.0.1:${freePort()}", "secretFile": "$secret", "seeds": [] },
                  "platform": { "table": "127.0.0.1:1", "objects": "127.0.0.1:1", "vms": "127.0.0.1:1" },
                  "maxEntries": 4, "drainBoundMs": 2000,
                }
                """.trimIndent(),
            )
        }
    }

    /** Guards against a planned stop that looks like a crash to the process supervisor. */
    @Test
    fun `SIGTERM ends the process with status 0 and the completed stop is logged`() {
        val log = directory.resolve("log")
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java, "-cp", System.getProperty("java.class.path"), MAIN_CLASS, "entry", "--settings")
        val process = ProcessBuilder(command + settings().toString()).redirectErrorStream(true)
            .redirectOutput(log.toFile()).start()
        try {
            awaitLine(log, "PW-5001")
            process.destroy()
            assertTrue(process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS), "not stopped in $STOP_TIMEOUT_S s")
            val text = Files.readString(log)
            assertEquals(0, process.exitValue(), text)
            assertTrue("PW-5003" in text, text)
        } finally {
            process.destroyForcibly()
        }
    }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun awaitLine(log: Path, text: String) {
        repeat(MAX_POLLS) {
            if (Files.exists(log) && text in Files.readString(log)) return
            Thread.sleep(POLL_INTERVAL_MS)
        }
        error("no line with $text in ${Files.readString(log)}")
    }

    private companion object {
        const val MAIN_CLASS = "io.poplarwood.cli.MainKt"
        const val STOP_TIMEOUT_S = 20L
        const val MAX_POLLS = 300
        const val POLL_INTERVAL_MS = 100L
    }
}
