package io.poplarwood.gateway.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeBytes
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class GatewaySettingsReaderSpec {
    @TempDir
    private lateinit var directory: Path

    /** The settings template as the platform fills it in, with [values] for the placeholders that they name. */
    private fun filledTemplate(vararg values: Pair<String, String>): String {
        val valueByName = values.toMap()
        return Regex(
            """\{\{([a-z0-9._-]+)}}""",
        ).replace(Files.readString(Path.of("../deploy/settings.jsonc"))) { match ->
            val name = match.groupValues[1]
            valueByName[name] ?: when {
                name == "ip" -> "10.1.0.35"
                name.startsWith("listen.") || name == "platform.address" -> "10.1.0.35:8144"
                name == "zone" || name == "node-name" -> "edge-1"
                else -> "2"
            }
        }
    }

    /** Guards against a settings template that the gateway cannot read. */
    @Test
    fun `reads the filled-in template`() {
        val settings = assertNotNull(GatewaySettingsReader.parse(filledTemplate()).get())
        assertEquals("10.1.0.35:2", settings.listen.peers)
        assertEquals(2.0, settings.bounds.repeatRatio)
    }

    /** Guards against the end of the process by a text of brackets. */
    @Test
    fun `reports a text that is nested deeply`() {
        for (text in listOf("[".repeat(20_000), filledTemplate().replaceFirst("{", "{\"a\":" + "[".repeat(20_000)))) {
            assertEquals(listOf("nested too deeply"), GatewaySettingsReader.parse(text).getError())
        }
    }

    /** Guards against an invalid value that is found only when the gateway uses it. */
    @Test
    fun `reports each fault with its path, the value found and what is allowed`() {
        val faults = GatewaySettingsReader.parse(
            filledTemplate("listen.front" to "nowhere", "bounds.grace-s" to "0"),
        ).getError()
        assertEquals(2, faults?.size)
        assertTrue("listen.callers is \"nowhere\", expected ip:port" in assertNotNull(faults))
    }

    /** Guards against a stack trace when an operator names the wrong file. */
    @Test
    fun `reports a file without valid settings in one line`() {
        val contents = listOf(
            ByteArray(0),
            byteArrayOf(-1, 0, -2, 7),
            filledTemplate().take(200).encodeToByteArray(),
            "{\"a\":".repeat(20_000).encodeToByteArray(),
            "[".repeat(20_000).encodeToByteArray(),
        )
        for (content in contents) {
            val file = directory.resolve("settings").also { it.writeBytes(content) }
            val faults = assertNotNull(GatewaySettingsReader.read(file).getError())
            assertEquals(1, faults.size, "$faults")
            assertTrue('\n' !in faults.single())
        }
        assertEquals(1, GatewaySettingsReader.read(directory).getError()?.size)
    }
}
