package io.poplarwood.cli

import io.poplarwood.bench.api.Bench
import io.poplarwood.bench.api.BenchCheck
import io.poplarwood.bench.api.BenchOptions
import io.poplarwood.bench.api.BenchReport
import io.poplarwood.entry.settings.EntrySettings
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class CommandLineSpec {
    @TempDir
    private lateinit var directory: Path
    private val startedEntries = mutableListOf<EntrySettings>()

    @Nested
    inner class `usage` {
        /** Guards against scripts that mistake invalid usage for a failed operation. */
        @Test
        fun `that is invalid exits with 2`() {
            val invalid = listOf(
                listOf(),
                listOf("nonsense"),
                listOf("check"),
                listOf("status"),
                listOf("classes"),
                listOf("demo", "--seconds", "0"),
                listOf("bench", "nonsense"),
                listOf("check", "--nonsense"),
                listOf("status", "--entry", "nowhere", "--token-file", token()),
                listOf("status", "--entry", "127.0.0.1:1", "--token-file", "${directory.resolve("absent")}"),
                listOf(
                    "classes",
                    "set",
                    "counter",
                    "$SAMPLES/counter.jsonc",
                    "--entry",
                    "a:1",
                    "--token-file",
                    token(),
                ),
            )
            assertEquals(invalid.map { 2 }, invalid.map { run(it).code })
        }

        /** Guards against reporting a request for help as an error. */
        @Test
        fun `that requests help exits with 0`() {
            val result = run(listOf("classes", "set", "--help"))
            assertEquals(0, result.code)
            assertTrue("--expect-version" in result.out, result.out)
        }
    }

    @Nested
    inner class `check` {
        /** Guards against a start script that continues with invalid settings. */
        @Test
        fun `exits with 0 for the samples and with 2 and a line for each error otherwise`() {
            for (name in listOf("scot-central", "nordeste")) {
                assertEquals(0, run(listOf("check", "--settings", "$SAMPLES/$name.jsonc")).code)
            }
            val text = Files.readString(Path.of("$SAMPLES/nordeste.jsonc"))
                .replace("\"ne-b-2\"", "7").replace("\"nordeste\"", "\"\"")
            val file = Files.writeString(directory.resolve("s.jsonc"), text)
            val result = run(listOf("check", "--settings", "$file"))
            assertEquals(2, result.code)
            val paths = result.out.trim().lines().map { it.substringBefore(':') }
            assertEquals(listOf("$.cell", "$.entry", "$.operators.tokenFile", "$.peers.secretFile"), paths.sorted())
            assertFalse("Exception" in result.out + result.err)
        }
    }

    @Nested
    inner class `a command for operators` {
        /** Guards against scripts that mistake a failed operation for a success. */
        @Test
        fun `exits with 1 when no entry answers and lists those tried`() {
            val closed = List(2) { "127.0.0.1:${ServerSocket(0).use { it.localPort }}" }
            val result = run(listOf("status", "--token-file", token()) + closed.flatMap { listOf("--entry", it) })
            assertEquals(1, result.code)
            assertEquals("no entry answered; tried ${closed.joinToString()}", result.err.trim())
        }

        /** Guards against sending an invalid document to an entry. */
        @Test
        fun `exits with 2 for an invalid document or one of another service`() {
            val file = Files.writeString(directory.resolve("d.jsonc"), """{"service":"counter","classes":[]}""")
            val set = listOf("--expect-version", "0", "--entry", "127.0.0.1:1", "--token-file", token())
            val faulty = run(listOf("classes", "set", "counter", "$file") + set)
            assertEquals(2 to true, faulty.code to ("$.defaultClass" in faulty.err))
            assertEquals(2, run(listOf("classes", "set", "pedidos", "$SAMPLES/counter.jsonc") + set).code)
        }
    }

    @Nested
    inner class `entry` {
        /** Guards against an entry that starts with invalid settings, or does not start at all. */
        @Test
        fun `runs with valid settings only`() {
            assertEquals(2, run(listOf("entry", "--settings", "$SAMPLES/counter.jsonc")).code)
            assertEquals(0, run(listOf("entry", "--settings", "$SAMPLES/nordeste.jsonc")).code)
            assertEquals(listOf("ne-b-2"), startedEntries.map { it.entry.value })
        }
    }

    @Nested
    inner class `explain` {
        private fun log(): String {
            val line = """{"timestamp":1000,"kvpList":[{"event":"PW-6202"},{"requestId":"r1"},{"reason":"full"}]}"""
            return Files.writeString(directory.resolve("vm-1.log"), "0.1 vm-1 $line\nnot a log line\n").toString()
        }

        /** Guards against operators who have to search the logs for a request id themselves. */
        @Test
        fun `reads a gateway's log, and exits with 1 when the log does not mention the request`() {
            val known = run(listOf("explain", "r1", "--log", log()))
            assertEquals(0, known.code)
            assertTrue("vm-1: The service had more work than it carries" in known.out, known.out)
            assertEquals(1, run(listOf("explain", "r2", "--log", log())).code)
        }

        @Test
        fun `without a log or an entry exits with 2`() {
            assertEquals(2, run(listOf("explain", "r1")).code)
            assertEquals(2, run(listOf("explain", "r1", "--log", "${directory.resolve("absent")}")).code)
        }
    }

    @Nested
    inner class `check of a gateway's settings` {
        @Test
        fun `exits with 2 and one line for a file without settings`() {
            val file = Files.writeString(directory.resolve("g.jsonc"), "[".repeat(20_000))
            val result = run(listOf("check", "--gateway", "--settings", "$file"))
            assertEquals(2, result.code)
            assertEquals(1, result.out.trim().lines().size)
        }
    }

    @Nested
    inner class `bench` {
        /** Guards against overlooking a missed target, and against JSON mixed with progress lines. */
        @Test
        fun `exits with 1 when a target is missed and prints one JSON object`() {
            assertEquals(0, run(listOf("bench", "good")).code)
            val all = run(listOf("bench", "--json"))
            assertEquals(1, all.code)
            assertTrue(all.out.startsWith("{\"reports\":[") && all.out.trim().endsWith("]}"), all.out)
        }
    }

    private class RunResult(val code: Int, val out: String, val err: String)

    private fun run(args: List<String>): RunResult {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val streams = System.out to System.err
        System.setOut(PrintStream(out))
        System.setErr(PrintStream(err))
        try {
            val wiring = Wiring(
                runEntry = { startedEntries += it },
                benches = listOf(benchOf("good", 1.0), benchOf("bad", 3.0)),
            )
            val code = CommandLine(wiring).run(args)
            return RunResult(code, out.toString(), err.toString())
        } finally {
            System.setOut(streams.first)
            System.setErr(streams.second)
        }
    }

    private fun benchOf(benchName: String, value: Double) = object : Bench {
        override val name = benchName
        override val summary = "measures nothing"

        override suspend fun run(options: BenchOptions) =
            BenchReport(benchName, options.seed, emptyList(), listOf(BenchCheck("value", value, 2.0)))
    }

    private fun token() = Files.writeString(directory.resolve("token"), "ailsa secret\n").toString()

    private companion object {
        const val SAMPLES = "../samples"
    }
}
