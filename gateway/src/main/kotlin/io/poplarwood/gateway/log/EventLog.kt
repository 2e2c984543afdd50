package io.poplarwood.gateway.log

import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * Writes each [GatewayEvent] with its fields as one structured log line.
 *
 * @param onError called with each event of level `ERROR`
 */
internal class EventLog(private val onError: (GatewayEvent) -> Unit = {}) {
    private val logger = LoggerFactory.getLogger("poplarwood")

    /** Logs [event] with one of [values] for each of its fields, in their order; null values are omitted. */
    fun log(event: GatewayEvent, vararg values: Any?) {
        check(values.size == event.fields.size) { "${event.id} takes ${event.fields.size} values, got ${values.size}" }
        val line = logger.atLevel(event.level).addKeyValue("event", event.id)
        for (i in values.indices) values[i]?.let { line.addKeyValue(event.fields[i], it) }
        line.log(event.message)
        if (event.level == Level.ERROR) onError(event)
    }
}
