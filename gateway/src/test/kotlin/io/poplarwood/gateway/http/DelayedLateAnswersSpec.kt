package io.poplarwood.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals

/** The first answer is sent again as the third request arrives on its connection; bodies number the requests. */
class DelayedLateAnswersSpec : LateAnswersFixture(repeatsAnswers = false) {
    override fun answer(number: Int, method: String, id: String?): String {
        val late = if (number == 3 && connections == 1) response(200, "a", "1") else ""
        return late + response(200, id, "$number")
    }

    /** Guards against a late answer to an earlier sending that passes as the answer to this one (MIXED). */
    @Test
    fun `a request that is sent again behind another one gets the answer to that sending`() {
        assertEquals(listOf("1", "2", "3"), listOf("a", "b", "a").map(::bodyOfExchange))
    }
}
