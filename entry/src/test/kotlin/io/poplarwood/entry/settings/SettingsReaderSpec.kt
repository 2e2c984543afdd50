package io.poplarwood.entry.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class SettingsReaderSpec {
    @TempDir
    private lateinit var directory: Path

    @Nested
    inner class `the samples` {
        /** Guards against samples that do not start when an operator copies them. */
        @Test
        fun `have no faults`() {
            for (name in listOf("scot-central", "nordeste")) {
                assertEquals(null, SettingsReader.settings(sample(name)).getError(), name)
            }
            for (name in listOf("counter", "proofroom", "pedidos", "apiario-docs")) {
                assertEquals(name, SettingsReader.document(sample(name)).get()?.service?.value)
            }
        }

        /** Guards against file names that resolve only when the process starts in a certain directory. */
        @Test
        fun `name files relative to the settings file`() {
            val settings = assertNotNull(SettingsReader.settings(sample("nordeste")).get())
            assertTrue(Path.of(settings.peers.secretFile).isAbsolute)
            assertTrue(Files.exists(Path.of(settings.operators.tokenFile)))
        }
    }

    @Nested
    inner class `a file with many faults` {
        /** Guards against reporting only one fault per start. */
        @Test
        fun `reports all of them at once`() {
            val faults = faults(
                valid
                    .replace("\"e1\"", "\"e 1\"")
                    .replace("\"zone\": \"a\"", "\"zone\": 7, \"zon\": \"a\"")
                    .replace("127.0.0.1:8081", "127.0.0.1:99999")
                    .replace("tokens", "absent")
                    .replace("\"port\": 8080", "\"port\": \"x\", \"maxHeaderCount\": 1")
                    .replace("\"maxEntries\": 8", "\"maxEntries\": 0"),
            )
            val paths = listOf(
                "$.zon",
                "$.zone",
                "$.callers.port",
                "$.maxEntries",
                "$.callers.maxHeaderCount",
                "$.entry",
                "$.operators.address",
                "$.operators.tokenFile",
            )
            assertEquals(paths.sorted(), faults.map { it.path }.sorted())
        }

        /** Guards against a fault that states neither the value found nor the values allowed. */
        @Test
        fun `reports each with the value found and the values allowed`() {
            val line = faults(valid.replace("\"maxEntries\": 8", "\"maxEntries\": 1001")).single().toString()
            assertEquals("$.maxEntries: found 1001; allowed: 1 to 1000", line)
        }
    }

    @Nested
    inner class `a fault` {
        /** Guards against a key with two values, of which the second silently wins. */
        @Test
        fun `is a key that occurs twice, also next to strings and comments that look like one`() {
            val twice = valid.replace("\"maxEntries\": 8", "/* \"cell\": { */ \"maxEntries\": 8, \"cell\": \"d\\\"{\"")
            assertEquals(listOf("$.cell"), faults(twice).map { it.path })
        }

        /** Guards against an empty secret. */
        @Test
        fun `is an empty file and a directory`() {
            Files.writeString(directory.resolve("secret"), " \n")
            assertEquals("\"secret\", which is empty", faults(valid).single().found)
            assertEquals("\"sub\", which cannot be read", faults(valid.replace("\"secret\"", "\"sub\"")).single().found)
        }

        /** Guards against a mistyped seed address that never answers. */
        @Test
        fun `is an address without a port in a list`() {
            assertEquals(
                "$.peers.seeds[1]",
                faults(valid.replace("[]", "[\"10.0.0.1:1\", \"10.0.0.2\"]")).single().path,
            )
        }

        /** Guards against a missing key that is reported as a stack trace. */
        @Test
        fun `is a missing key, text that is not JSON, and a missing file`() {
            assertEquals("$.cell", faults(valid.replace("\"cell\": \"c\",", "")).single().path)
            assertEquals("JSON with comments", faults("{ \"entry\": ").single().allowed)
            val absent = SettingsReader.settings(directory.resolve("none.jsonc")).getError()
            assertEquals("a readable file", absent?.single()?.allowed)
        }

        /** Guards against a document that `check` accepts but the cell refuses. */
        @Test
        fun `is a target that contradicts the deadline`() {
            val text = Files.readString(
                sample("counter"),
            ).replace("\"servedWithinMs\": 150", "\"servedWithinMs\": 9000")
            Files.writeString(directory.resolve("d.jsonc"), text)
            val faults = assertNotNull(SettingsReader.document(directory.resolve("d.jsonc")).getError())
            assertEquals(listOf("$.classes[0].target.servedWithinMs"), faults.map { it.path })
        }
    }

    private val valid = """
        {
          "entry": "e1", "cell": "c", "zone": "a",
          "callers": { "port": 8080 }, "callersAdvertised": "127.0.0.1:8080",
          "operators": { "address": "127.0.0.1:8081", "tokenFile": "tokens" },
          "peers": { "address": "127.0.0.1:8082", "secretFile": "secret", "seeds": [] },
          "platform": { "table": "127.0.0.1:9000" },
          "maxEntries": 8, // with a comment
        }
    """

    private fun faults(text: String): List<SettingsFault> {
        Files.createDirectories(directory.resolve("sub"))
        Files.writeString(directory.resolve("tokens"), "a b")
        if (!Files.exists(directory.resolve("secret"))) Files.writeString(directory.resolve("secret"), "s")
        Files.writeString(directory.resolve("s.jsonc"), text)
        return SettingsReader.settings(directory.resolve("s.jsonc")).getError().orEmpty()
    }

    private fun sample(name: String): Path = Path.of("..", "samples", "$name.jsonc")
}
