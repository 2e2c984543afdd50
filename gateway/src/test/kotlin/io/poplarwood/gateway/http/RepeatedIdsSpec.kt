package io.poplarwood.gateway.http

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** The body of each answer is the number of its request. */
class RepeatedIdsSpec : LateAnswersFixture() {
    override fun answer(number: Int, method: String, id: String?) = response(200, id, "$number")

    /** Guards against a late answer to an earlier sending that passes as the answer to this one (MIXED). */
    @Nested
    inner class `a request that is sent again under its id` {
        @Test
        fun `gets the answer to that sending`() {
            assertEquals(listOf("1", "2", "3"), List(3) { bodyOfExchange("a") })
        }

        @Test
        fun `gets the answer to that sending also behind another request`() {
            assertEquals(listOf("1", "2", "3"), listOf("a", "b", "a").map(::bodyOfExchange))
        }
    }

    /** Guards against late answers that nothing tells from the answer to a request without an id. */
    @Test
    fun `requests without an id get their own answers`() {
        assertEquals(listOf("1", "2", "3"), listOf("a", null, null).map(::bodyOfExchange))
    }

    /** Guards against a new connection for every request. */
    @Test
    fun `requests with ids of their own reuse a connection that has brought no late answer`() {
        exchange("a")
        exchange("b")
        assertEquals(1, connections)
    }
}
