package io.poplarwood.entry.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Checks ranges, names, addresses and files of [EntrySettings]. Leaves values of the wrong type to [SchemaCheck]. */
internal class ValueRules(private val root: JsonElement, private val directory: Path) {
    fun faults(): List<SettingsFault> =
        RANGES.flatMap { (path, range) -> checkRange(path, range) } +
            NAMES.flatMap { checkName(it) } +
            ADDRESSES.flatMap { checkAddress(it) } +
            FILES.flatMap { checkFile(it) }

    private fun checkRange(path: String, range: ClosedRange<Double>): List<SettingsFault> = values(
        path,
    ).mapNotNull { (at, primitive) ->
        val number = if (primitive.isString) null else primitive.doubleOrNull
        if (number == null || number in range) return@mapNotNull null
        SettingsFault(at, primitive.content, "${formatNumber(range.start)} to ${formatNumber(range.endInclusive)}")
    }

    private fun checkName(path: String): List<SettingsFault> = values(path).mapNotNull { (at, primitive) ->
        if (!primitive.isString || NAME.matches(primitive.content)) return@mapNotNull null
        SettingsFault(at, SchemaCheck.describe(primitive), "letters, digits and hyphens, at most 63")
    }

    private fun checkAddress(path: String): List<SettingsFault> = values(path).mapNotNull { (at, primitive) ->
        if (!primitive.isString || isAddress(primitive.content)) return@mapNotNull null
        SettingsFault(at, SchemaCheck.describe(primitive), "host:port with a port from 1 to 65535")
    }

    private fun checkFile(path: String): List<SettingsFault> = values(path).mapNotNull { (at, primitive) ->
        val problem = if (primitive.isString) fileProblem(primitive.content) else null
        problem?.let {
            SettingsFault(at, "${SchemaCheck.describe(primitive)}, $it", "a readable file that is not empty")
        }
    }

    private fun fileProblem(name: String): String? {
        val file = runCatching { directory.resolve(name) }.getOrNull()
        return when {
            file == null -> "which is no file name"
            !Files.exists(file) -> "which does not exist"
            !Files.isRegularFile(file) || !Files.isReadable(file) -> "which cannot be read"
            else -> try {
                if (Files.readString(file).isBlank()) "which is empty" else null
            } catch (_: IOException) {
                "which cannot be read"
            }
        }
    }

    private fun values(path: String): List<Pair<String, JsonPrimitive>> {
        var found: List<Pair<String, JsonElement>> = listOf("$" to root)
        for (key in path.split('.')) {
            found = found.mapNotNull { (at, element) -> (element as? JsonObject)?.get(key)?.let { "$at.$key" to it } }
        }
        return found.flatMap { (at, element) ->
            if (element is JsonArray) element.mapIndexed { i, item -> "$at[$i]" to item } else listOf(at to element)
        }.mapNotNull { (at, element) -> (element as? JsonPrimitive)?.let { at to it } }
    }

    private fun isAddress(text: String): Boolean {
        val port = text.substringAfterLast(':', "").toIntOrNull() ?: return false
        val host = text.substringBeforeLast(':')
        return port in 1..MAX_PORT && HOST.matches(host)
    }

    private fun formatNumber(value: Double) = if (value % 1 == 0.0) value.toLong().toString() else value.toString()

    private companion object {
        const val MAX_PORT = 65_535
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9-]{0,62}")
        val HOST = Regex("""[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?|\[[0-9A-Fa-f:.]+]""")
        val NAMES = listOf("entry", "cell", "zone")
        val ADDRESSES = listOf(
            "callersAdvertised",
            "operators.address",
            "peers.address",
            "peers.advertised",
            "peers.seeds",
            "platform.table",
            "platform.objects",
            "platform.vms",
        )
        val FILES =
            listOf(
                "callers.tls.key",
                "callers.tls.certificate",
                "operators.tokenFile",
                "operators.tls.key",
                "operators.tls.certificate",
                "peers.secretFile",
            )
        val RANGES = listOf(
            "maxEntries" to 1.0..1_000.0,
            "drainBoundMs" to 0.0..86_400_000.0,
            "platform.connectTimeoutMs" to 1.0..60_000.0,
            "platform.answerTimeoutMs" to 1.0..60_000.0,
            "callers.port" to 0.0..65_535.0,
            "callers.maxRequestLineBytes" to 256.0..1_048_576.0,
            "callers.maxHeaderBytes" to 1_024.0..1_048_576.0,
            "callers.maxHeaderCount" to 8.0..10_000.0,
            "callers.callerIdleMs" to 100.0..3_600_000.0,
            "callers.bodyStallMs" to 100.0..3_600_000.0,
            "callers.minBodyBytesPerSecond" to 0.0..1_073_741_824.0,
            "callers.callerConnections" to 1.0..1_000_000.0,
            "callers.keptBodyBytes" to 0.0..16_777_216.0,
            "callers.connectTimeoutMs" to 1.0..60_000.0,
            "callers.upstreamIdleMs" to 100.0..3_600_000.0,
            "callers.upstreamConnections" to 1.0..100_000.0,
            "callers.callerThreads" to 0.0..256.0,
            "callers.upstreamThreads" to 0.0..256.0,
        )
    }
}
