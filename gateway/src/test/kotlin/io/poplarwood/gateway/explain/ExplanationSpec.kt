package io.poplarwood.gateway.explain

import io.poplarwood.gateway.runtime.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ExplanationSpec {
    private fun line(at: Long, event: String, vararg fields: Pair<String, String>): String {
        val pairs = (listOf("event" to event) + fields).joinToString(",") { "{\"${it.first}\":\"${it.second}\"}" }
        return """{"timestamp":$at,"level":"INFO","kvpList": [$pairs],"message":"m","throwable":null}"""
    }

    private val lost = line(
        10_000,
        "PW-6203",
        "requestId" to "r1",
        "reason" to "lost",
        "trail" to "u1(load=1/3):connection_lost+12ms",
    )

    private fun records(vararg lines: String) = lines.mapNotNull { LogRecord.parse(it, "a.log") }

    /** Guards against missing a cause that is logged in a line without the request's id. */
    @Test
    fun `shows the events of the request's upstreams, sorted by time`() {
        val all = records(
            lost,
            "e2 " + line(10_400, "PW-6306", "upstream" to "u1", "failures" to "2"),
            line(9_000, "PW-6301", "upstream" to "u1"),
            line(9_000, "PW-6301", "upstream" to "u2"),
            line(30_000, "PW-6302", "upstream" to "u1"),
        )
        val explanation = assertNotNull(Explanation.of("r1", all))
        assertEquals(listOf("PW-6301", "PW-6203", "PW-6306"), explanation.records.map { it.event })
        assertEquals(listOf("a.log", "a.log", "e2"), explanation.records.map { it.source })
    }

    /** Guards against events of an upstream whose name ends in the name of another one. */
    @Test
    fun `shows no events of upstreams that the request did not meet`() {
        val request = line(
            10_000,
            "PW-6203",
            "requestId" to "r1",
            "trail" to "a(load=1/3):shed+1ms other-u1(load=1/3):200",
        )
        val all =
            records(request, line(9_000, "PW-6302", "upstream" to "u1"), line(9_000, "PW-6302", "upstream" to "a"))
        assertEquals(listOf("a", ""), Explanation.of("r1", all)?.records?.map { it["upstream"] })
    }

    /** Guards against a cause that refers to an event which is not shown. */
    @Test
    fun `shows that the request's entry dropped answers`() =
        assertEquals(2, Explanation.of("r1", records(lost, line(10_000, "PW-6210")))?.records?.size)

    @Test
    fun `shows store events of the request's own entry only`() {
        val all = records(lost, line(9_500, "PW-6101"), "e2 " + line(9_500, "PW-6101"))
        assertEquals(listOf("PW-6101", "PW-6203"), Explanation.of("r1", all)?.records?.map { it.event })
    }

    @Test
    fun `returns null for an id that no line names`() = assertNull(Explanation.of("r2", records(lost)))

    /** Guards against failing on lines of other programs, truncated lines or bytes that are not text. */
    @Test
    fun `skips lines that are not records of a gateway`() =
        assertEquals(1, records("", "event", "{\"event\":", "{\"kvpList\":3,\"event\":1}", "\u0000{event", lost).size)

    /** Guards against an outcome without a cause. */
    @Test
    fun `has a cause for every outcome`() =
        Outcome.entries.forEach { assertFalse(Cause.of(it.label).startsWith("Unknown"), it.label) }
}
