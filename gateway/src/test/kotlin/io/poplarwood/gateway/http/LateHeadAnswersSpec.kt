package io.poplarwood.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals

/** All answers have status 404; their body is an answer to HEAD, as of an upstream that returns what callers sent. */
class LateHeadAnswersSpec : LateAnswersFixture() {
    private val body = response(200, "head", "")

    override fun answer(number: Int, method: String, id: String?): String {
        val whole = response(404, id, body)
        return if (method == "HEAD") whole.removeSuffix(body) else whole
    }

    private fun statusOf(id: String, method: String) = (exchange(id, method) as? AttemptResult.Answered)?.status

    /** Guards against the body of a late answer that is read as the answer to a HEAD request (MIXED). */
    @Test
    fun `a HEAD request behind a GET request gets its own answer`() {
        assertEquals(listOf<Int?>(404, 404), listOf(statusOf("get", "GET"), statusOf("head", "HEAD")))
    }

    /** Guards against an answer that is read as the body which a late answer to a HEAD request announces. */
    @Test
    fun `a GET request behind a HEAD request gets its own answer`() {
        assertEquals(listOf<Int?>(404, 404), listOf(statusOf("head", "HEAD"), statusOf("get", "GET")))
    }
}
