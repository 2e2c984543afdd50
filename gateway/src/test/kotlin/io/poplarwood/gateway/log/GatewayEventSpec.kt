package io.poplarwood.gateway.log

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class GatewayEventSpec {
    /** Guards against a page for on-call engineers that differs from what the code logs. */
    @Test
    fun `docs list every event with its level, message and fields`() {
        val rows = File("../docs/gateway-events.md").readLines().filter { it.startsWith("| PW-") }
        val events = GatewayEvent.entries.sortedBy { it.number }.map { event ->
            val fields = event.fields.joinToString(", ") { "`$it`" }
            "| ${event.id} | ${event.level} | ${event.message} | $fields |"
        }
        assertEquals(events, rows)
    }

    @Test
    fun `numbers are not used twice`() {
        val numbers = GatewayEvent.entries.map { it.number }
        assertEquals(numbers.toSet().size, numbers.size)
    }
}
