package io.poplarwood.gateway.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/**
 * One line of a gateway's log.
 *
 * @property source the entry that wrote the line, taken from the text before the JSON or else from the file name
 * @property atMs Unix time in milliseconds, by the clock of the VM that wrote the line
 * @property event identifier such as `PW-6203`
 */
class LogRecord private constructor(
    val source: String,
    val atMs: Long,
    val event: String,
    val message: String,
    private val fields: JsonObject,
) {
    /** The value of field [name]; empty when the record has no such field. */
    operator fun get(name: String): String = fields[name]?.jsonPrimitive?.content.orEmpty()

    /** The fields as `name=value`, without the event. */
    fun formatFields(): String =
        fields.entries.filter { it.key != EVENT }.joinToString(" ") { "${it.key}=${it.value.jsonPrimitive.content}" }

    companion object {
        private const val EVENT = "event"

        /**
         * Parses [line]; returns null when the line is not a log record of a gateway. The source is the last word
         * before the JSON, such as the name of a VM, or [file] if there is none.
         */
        fun parse(line: String, file: String): LogRecord? {
            val start = line.indexOf('{')
            if (start < 0 || !line.contains(EVENT)) return null
            val source = line.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
            return try {
                fromJson(source, Json.parseToJsonElement(line.substring(start)).jsonObject)
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            }
        }

        private fun fromJson(source: String, json: JsonObject): LogRecord? {
            val pairs = json["kvpList"]?.jsonArray?.map { it.jsonObject } ?: return null
            val fields = JsonObject(pairs.fold(LinkedHashMap()) { merged, pair -> merged.apply { putAll(pair) } })
            val event = fields[EVENT]?.jsonPrimitive?.content ?: return null
            val timestampMs = json["timestamp"]?.jsonPrimitive?.long ?: return null
            return LogRecord(source, timestampMs, event, json["message"]?.jsonPrimitive?.content.orEmpty(), fields)
        }
    }
}
