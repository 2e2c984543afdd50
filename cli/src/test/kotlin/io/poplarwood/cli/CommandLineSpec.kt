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
    private val started = mutableListOf<EntrySettings>()

    @Nested
    inner class `usage` {
        /** Guards against scripts that take bad usage for a failed operation. */
        @Test
        fun `that is wrong exits 2`() {
            val bad = listOf(
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
            assertEquals(bad.map { 2 }, bad.map { run(it).code })
        }

        /** Guards against help that looks like an error. */
        @Test
        fun `that asks for help exits 0`() {
            val asked = run(listOf("classes", "set", "--help"))
            assertEquals(0, asked.code)
            assertTrue("--expect-version" in asked.out, asked.out)
        }
    }

    @Nested
    inner class `check` {
        /** Guards against a start script that goes on with settings that have faults. */
        @Test
        fun `exits 0 for the samples and 2 with a line for each fault`() {
            for (name in listOf("scot-central", "nordeste")) {
                assertEquals(0, run(listOf("check", "--settings", "$SAMPLES/$name.jsonc")).code)
            }
            val text = Files.readString(Path.of("$SAMPLES/nordeste.jsonc"))
                .replace("\"ne-b-2\"", "7").replace("\"nordeste\"", "\"\"")
            val file = Files.writeString(directory.resolve("s.jsonc"), text)
            val checked = run(listOf("check", "--settings", "$file"))
            assertEquals(2, checked.code)
            val paths = checked.out.trim().lines().map { it.substringBefore(':') }
            assertEquals(listOf("$.cell", "$.entry", "$.operators.tokenFile", "$.peers.secretFile"), paths.sorted())
            assertFalse("Exception" in checked.out + checked.err)
        }
    }

    @Nested
    inner class `an operators' command` {
        /** Guards against a failed operation that a script takes for done. */
        @Test
        fun `exits 1 when no entry answers and names those it tried`() {
            val dead = List(2) { "127.0.0.1:${ServerSocket(0).use { it.localPort }}" }
            val asked = run(listOf("status", "--token-file", token()) + dead.flatMap { listOf("--entry", it) })
            assertEquals(1, asked.code)
            assertEquals("no entry answered; tried ${dead.joinToString()}", asked.err.trim())
        }

        /** Guards against a document with faults that reaches an entry. */
        @Test
        fun `exits 2 for a document with faults or of another service`() {
            val file = Files.writeString(directory.resolve("d.jsonc"), """{"service":"counter","classes":[]}""")
            val set = listOf("--expect-version", "0", "--entry", "127.0.0.1:1", "--token-file", token())
            val faulty = run(listOf("classes", "set", "counter", "$file") + set)
            assertEquals(2 to true, faulty.code to ("$.defaultClass" in faulty.err))
            assertEquals(2, run(listOf("classes", "set", "pedidos", "$SAMPLES/counter.jsonc") + set).code)
        }
    }

    @Nested
    inner class `entry` {
        /** Guards against an entry that starts with faulty settings, or not at all. */
        @Test
        fun `runs with good settings only`() {
            assertEquals(2, run(listOf("entry", "--settings", "$SAMPLES/counter.jsonc")).code)
            assertEquals(0, run(listOf("entry", "--settings", "$SAMPLES/nordeste.jsonc")).code)
            assertEquals(listOf("ne-b-2"), started.map { it.entry.value })
        }
    }

    @Nested
    inner class `explain` {
        private fun log(): String {
            val line = """{"timestamp":1000,"kvpList":[{"event":"PW-6202"},{"requestId":"r1"},{"reason":"full"}]}"""
            return Files.writeString(directory.resolve("vm-1.log"), "0.1 vm-1 $line\nnot a log line\n").toString()
        }

        /** Guards against an operator left with an id and a folder of logs. */
        @Test
        fun `reads a gateway's log, and exits 1 when it does not name the request`() {
            val known = run(listOf("explain", "r1", "--log", log()))
            assertEquals(0, known.code)
            assertTrue("vm-1: The service had more work than it carries" in known.out, known.out)
            assertEquals(1, run(listOf("explain", "r2", "--log", log())).code)
        }

        @Test
        fun `without a log or an entry exits 2`() {
            assertEquals(2, run(listOf("explain", "r1")).code)
            assertEquals(2, run(listOf("explain", "r1", "--log", "${directory.resolve("absent")}")).code)
        }
    }

    @Nested
    inner class `check of a gateway's settings` {
        @Test
        fun `exits 2 with one line for a file that holds none`() {
            val file = Files.writeString(directory.resolve("g.jsonc"), "[".repeat(20_000))
            val checked = run(listOf("check", "--gateway", "--settings", "$file"))
            assertEquals(2, checked.code)
            assertEquals(1, checked.out.trim().lines().size)
        }
    }

    @Nested
    inner class `bench` {
        /** Guards against a missed target that goes unseen, and JSON that is mixed with progress lines. */
        @Test
        fun `exits 1 when a target is missed and prints one JSON object`() {
            assertEquals(0, run(listOf("bench", "good")).code)
            val all = run(listOf("bench", "--json"))
            assertEquals(1, all.code)
            assertTrue(all.out.startsWith("{\"reports\":[") && all.out.trim().endsWith("]}"), all.out)
        }
    }

    private class Ran(val code: Int, val out: String, val err: String)

    private fun run(args: List<String>): Ran {
        val out = ByteArrayOutputStream()
        val err = ByteArrayOutputStream()
        val streams = System.out to System.err
        System.setOut(PrintStream(out))
        System.setErr(PrintStream(err))
        try {
            val wiring = Wiring(runEntry = { started += it }, benches = listOf(fixed("good", 1.0), fixed("bad", 3.0)))
            val code = CommandLine(wiring).run(args)
            return Ran(code, out.toString(), err.toString())
        } finally {
            System.setOut(streams.first)
            System.setErr(streams.second)
        }
    }

    private fun fixed(of: String, value: Double) = object : Bench {
        override val name = of
        override val summary = "measures nothing"

        override suspend fun run(options: BenchOptions) =
            BenchReport(of, options.seed, emptyList(), listOf(BenchCheck("value", value, 2.0)))
    }

    private fun token() = Files.writeString(directory.resolve("token"), "ailsa secret\n").toString()

    private companion object {
        const val SAMPLES = "../samples"
    }
}
