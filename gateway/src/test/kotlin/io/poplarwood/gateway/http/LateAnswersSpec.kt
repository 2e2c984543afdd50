package io.poplarwood.gateway.http

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** The first request is rejected, all others are answered with their id. */
class LateAnswersSpec : LateAnswersFixture() {
    private var rejectionNamesId = false

    override fun answer(number: Int, method: String, id: String?): String {
        if (number > 1) return response(200, id, id.orEmpty())
        return response(503, id.takeIf { rejectionNamesId }, "", "Not-Executed: 1\r\n")
    }

    @Nested
    inner class `behind a rejection that names no request` {
        /** Guards against a promise that a request has not run, made from the copy of an answer to an earlier one. */
        @Test
        fun `a request gets its own answer`() {
            assertIs<AttemptResult.NotExecuted>(exchange("first"))
            assertEquals(listOf("second", "third"), listOf("second", "third").map(::bodyOfExchange))
        }
    }

    @Nested
    inner class `behind a rejection that names its request` {
        @Test
        fun `every request gets its own answer on the same connection`() {
            rejectionNamesId = true
            exchange("first")
            assertEquals("second", bodyOfExchange("second"))
            assertEquals(1, connections)
        }
    }
}
