package io.poplarwood.gateway.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.poplarwood.gateway.json.JsonNesting
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and checks the settings of a gateway: JSON with comments. */
object GatewaySettingsReader {
    private val json = Json {
        ignoreUnknownKeys = true
        allowComments = true
        allowTrailingComma = true
    }

    /** Reads the settings in [file]; fails with one line for each fault. */
    fun read(file: Path): Result<GatewaySettings, List<String>> {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            return Err(listOf("$file cannot be read: ${e.javaClass.simpleName}"))
        }
        return parse(text)
    }

    /** Reads the settings in [text]; fails with one line for each fault. */
    fun parse(text: String): Result<GatewaySettings, List<String>> {
        if (JsonNesting.exceedsLimit(text)) return Err(listOf("nested too deeply"))
        val settings = try {
            json.decodeFromString(GatewaySettings.serializer(), text)
        } catch (e: SerializationException) {
            return Err(listOf(e.message.orEmpty().lineSequence().first()))
        }
        val faults = validate(settings)
        return if (faults.isEmpty()) Ok(settings) else Err(faults)
    }

    private fun validate(settings: GatewaySettings): List<String> = buildList {
        val listen = settings.listen
        val addresses = listOfNotNull(
            "listen.callers" to listen.callers,
            "listen.readiness" to listen.readiness,
            "listen.directory" to listen.directory,
            "listen.peers" to listen.peers,
            "listen.metrics" to listen.metrics,
            listen.relay?.let { "listen.relay" to it },
            "store.address" to settings.store.address,
        )
        for ((path, value) in addresses) {
            if (!ADDRESS.matches(value)) add("$path is \"$value\", expected ip:port")
        }
        if (settings.entry.isBlank()) add("entry is empty")
        val bounds = settings.bounds
        val times = mapOf(
            "bounds.graceS" to bounds.graceS,
            "bounds.repeatWindowS" to bounds.repeatWindowS,
            "bounds.directoryLifetimeS" to bounds.directoryLifetimeS,
        )
        for ((path, value) in times) if (value <= 0) add("$path is $value, expected more than 0")
        val limits = settings.limits
        val sizes = mapOf(
            "limits.processorShare" to limits.processorShare,
            "limits.processorSpeed" to limits.processorSpeed,
            "limits.linkMbps" to limits.linkMbps,
        )
        for ((path, value) in sizes) if (value <= 0) add("$path is $value, expected more than 0")
        if (bounds.repeatRatio < 0) add("bounds.repeatRatio is ${bounds.repeatRatio}, expected 0 or more")
    }

    private val ADDRESS = Regex("""\d{1,3}(\.\d{1,3}){3}:\d{1,5}""")
}
