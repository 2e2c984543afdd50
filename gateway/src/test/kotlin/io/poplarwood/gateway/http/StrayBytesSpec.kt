package io.poplarwood.gateway.http

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** The first answer has status 200, all others have status 500; stray bytes stand between the first two. */
class StrayBytesSpec : LateAnswersFixture(repeatsAnswers = false) {
    private var behindFirst = ""
    private var beforeSecond = ""

    override fun answer(number: Int, method: String, id: String?): String = when (number) {
        1 -> response(200, id, "whole") + behindFirst
        else -> beforeSecond + response(500, id, "failure")
    }

    private fun statusOf(id: String) = (exchange(id) as? AttemptResult.Answered)?.status

    /** Status of the answer to the second request. */
    private fun secondStatus(): Int? {
        assertEquals(200, statusOf("a"))
        return statusOf("b")
    }

    /** Guards against a failure that callers get as a success, and against requests that are lost (MIXED). */
    @Nested
    inner class `a request gets its own answer where the one before is followed by` {
        private fun secondStatusBehind(bytes: String): Int? {
            behindFirst = bytes
            return secondStatus()
        }

        @Test
        fun `the beginning of a head`() = assertEquals(500, secondStatusBehind(CUT_IN_FIELD))

        @Test
        fun `the beginning of a status line`() = assertEquals(500, secondStatusBehind(CUT_IN_STATUS_LINE))

        @Test
        fun `a few bytes`() = assertEquals(500, secondStatusBehind("xyz"))

        @Test
        fun `a whole answer`() = assertEquals(500, secondStatusBehind(response(200, "a", "again")))
    }

    /** Guards against a failure that callers get as a success, under the head of a late answer (MIXED). */
    @Nested
    inner class `a failed request is not answered with success where its answer follows` {
        private fun secondStatusAfter(bytes: String): Int? {
            beforeSecond = bytes
            return secondStatus()
        }

        @Test
        fun `the beginning of a head`() = assertNotEquals(200, secondStatusAfter(CUT_IN_FIELD))

        @Test
        fun `the beginning of a status line`() = assertNotEquals(200, secondStatusAfter(CUT_IN_STATUS_LINE))
    }

    /** Guards against a cut at another place than those above. */
    @Test
    fun `no part of a late answer in front of a failure makes it a success`() {
        val late = response(200, "a", "whole", "Server: x\r\n")
        assertEquals(200, statusOf("a"))
        for (length in 1 until late.indexOf("Request-Id")) {
            beforeSecond = late.take(length)
            assertNotEquals(200, statusOf("cut-$length"), "cut after $length bytes")
        }
    }

    private companion object {
        const val CUT_IN_FIELD = "HTTP/1.1 200 OK\r\nServer: "
        const val CUT_IN_STATUS_LINE = "HTTP/1.1 200 O"
    }
}
