package io.poplarwood.entry.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.fleet.config.DocumentValidator
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reads settings files and service documents and reports all faults at once. Relative file names in settings refer to
 * the directory of the settings file.
 */
object SettingsReader {
    /** The settings in [file], in which relative file names are replaced by absolute ones. */
    fun settings(file: Path): Result<EntrySettings, List<SettingsFault>> {
        val directory = file.toAbsolutePath().parent
        return read(file, EntrySettings.serializer(), rules = { ValueRules(it, directory).faults() }) { emptyList() }
            .map { resolvePaths(it, directory) }
    }

    /** The service document in [file]. */
    fun document(file: Path): Result<ServiceDocument, List<SettingsFault>> =
        read(file, ServiceDocument.serializer(), rules = { emptyList() }) { document ->
            DocumentValidator.faults(document).map { SettingsFault(it.path, it.found, it.allowed) }
        }

    private fun <T> read(
        file: Path,
        serializer: KSerializer<T>,
        rules: (JsonElement) -> List<SettingsFault>,
        check: (T) -> List<SettingsFault>,
    ): Result<T, List<SettingsFault>> {
        val text =
            readText(file) ?: return Err(listOf(SettingsFault("$", "$file, which cannot be read", "a readable file")))
        return try {
            val element = CommentedJson.parseToJsonElement(text)
            val faults =
                DuplicateKeyCheck(text).faults() + SchemaCheck.faults(element, serializer.descriptor) + rules(element)
            if (faults.isNotEmpty()) return Err(faults.distinctBy { it.path })
            val value = CommentedJson.decodeFromJsonElement(serializer, element)
            val documentFaults = check(value)
            if (documentFaults.isEmpty()) Ok(value) else Err(documentFaults)
        } catch (e: SerializationException) {
            Err(listOf(SettingsFault("$", e.message.orEmpty().lineSequence().first(), "JSON with comments")))
        }
    }

    private fun readText(file: Path): String? =
        try {
            Files.readString(file)
        } catch (_: IOException) {
            null
        }

    private fun resolvePaths(settings: EntrySettings, directory: Path): EntrySettings {
        fun absolute(name: String) = directory.resolve(name).toString()

        fun absolute(tls: TlsFiles?) = tls?.let { TlsFiles(absolute(it.key), absolute(it.certificate)) }
        return settings.copy(
            callers = settings.callers.copy(tls = absolute(settings.callers.tls)),
            operators = settings.operators.copy(
                tokenFile = absolute(settings.operators.tokenFile),
                tls = absolute(settings.operators.tls),
            ),
            peers = settings.peers.copy(secretFile = absolute(settings.peers.secretFile)),
        )
    }
}
