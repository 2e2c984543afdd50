package io.poplarwood.entry.log

import net.logstash.logback.argument.StructuredArguments.keyValue
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Logs [LogEvent]s. Their fields are `key=value` pairs in the text format and members of the record in JSON. */
class EventLog(private val logger: Logger = LoggerFactory.getLogger("poplarwood")) {
    /** Logs [event] with [values] in the order of its fields. */
    fun log(event: LogEvent, vararg values: Any?) {
        require(values.size == event.fields.size) {
            "${event.id} takes ${event.fields.size} values, got ${values.size}"
        }
        if (!logger.isEnabledForLevel(event.level)) return
        val arguments = arrayOf(keyValue("event", event.id), *arguments(event, values))
        val message = "{} ${event.message}" + " {}".repeat(values.size)
        logger.atLevel(event.level).log(message, *arguments)
    }

    private fun arguments(event: LogEvent, values: Array<out Any?>) =
        Array(values.size) { keyValue(event.fields[it], values[it]) }
}
