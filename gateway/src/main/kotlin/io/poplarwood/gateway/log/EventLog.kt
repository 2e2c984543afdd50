package io.poplarwood.gateway.log

import org.slf4j.LoggerFactory

/** Writes each [GatewayEvent] with its fields as one structured log line. */
internal class EventLog {
    private val logger = LoggerFactory.getLogger("poplarwood")

    /** Logs [event] with one of [values] for each of its fields, in their order; null values are omitted. */
    fun log(event: GatewayEvent, vararg values: Any?) {
        check(values.size == event.fields.size) { "${event.id} takes ${event.fields.size} values, got ${values.size}" }
        val line = logger.atLevel(event.level).addKeyValue("event", event.id)
        for (i in values.indices) values[i]?.let { line.addKeyValue(event.fields[i], it) }
        line.log(event.message)
    }
}
