package io.poplarwood.gateway.log

import org.slf4j.LoggerFactory

/** Writes [GatewayEvent]s with their fields as one structured line each. */
internal class EventLog {
    private val logger = LoggerFactory.getLogger("poplarwood")

    /** Logs [event]; [values] stand in the order of its fields, and those that are null are left out. */
    fun log(event: GatewayEvent, vararg values: Any?) {
        check(values.size == event.fields.size) { "${event.id} takes ${event.fields.size} values, got ${values.size}" }
        val line = logger.atLevel(event.level).addKeyValue("event", event.id)
        for (i in values.indices) values[i]?.let { line.addKeyValue(event.fields[i], it) }
        line.log(event.meaning)
    }
}
