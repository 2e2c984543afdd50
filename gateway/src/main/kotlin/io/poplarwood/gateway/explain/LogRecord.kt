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
 * @property source the entry that wrote it, as far as the line or its file tells
 * @property atMs Unix time by the clock of that VM, in milliseconds
 * @property event identifier such as `PW-6203`
 */
class LogRecord private constructor(
    val source: String,
    val atMs: Long,
    val event: String,
    val message: String,
    private val fields: JsonObject,
) {
    /** The value of field [name]; empty when the event has none. */
    operator fun get(name: String): String = fields[name]?.jsonPrimitive?.content.orEmpty()

    /** The fields as `name=value`, without the event. */
    fun shownFields(): String =
        fields.entries.filter { it.key != EVENT }.joinToString(" ") { "${it.key}=${it.value.jsonPrimitive.content}" }

    companion object {
        private const val EVENT = "event"

        /**
         * The record in [line]; null when it holds none. What stands before the JSON, such as the name of a VM, is
         * taken for its source, else [file].
         */
        fun parse(line: String, file: String): LogRecord? {
            val start = line.indexOf('{')
            if (start < 0 || !line.contains(EVENT)) return null
            val source = line.substring(0, start).trim().substringAfterLast(' ').ifEmpty { file }
            return try {
                of(source, Json.parseToJsonElement(line.substring(start)).jsonObject)
            } catch (e: SerializationException) {
                null
            } catch (e: IllegalArgumentException) {
                null
            }
        }

        private fun of(source: String, json: JsonObject): LogRecord? {
            val pairs = json["kvpList"]?.jsonArray?.map { it.jsonObject } ?: return null
            val fields = JsonObject(pairs.fold(LinkedHashMap()) { all, pair -> all.apply { putAll(pair) } })
            val event = fields[EVENT]?.jsonPrimitive?.content ?: return null
            val at = json["timestamp"]?.jsonPrimitive?.long ?: return null
            return LogRecord(source, at, event, json["message"]?.jsonPrimitive?.content.orEmpty(), fields)
        }
    }
}
