package io.poplarwood.gateway.json

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class JsonNestingSpec {
    private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

    @Test
    fun `allows the limit and nothing beyond it`() {
        assertFalse(JsonNesting.exceedsLimit(nested(JsonNesting.MAX_DEPTH)))
        assertTrue(JsonNesting.exceedsLimit(nested(JsonNesting.MAX_DEPTH + 1)))
        assertTrue(JsonNesting.exceedsLimit("{\"a\":".repeat(JsonNesting.MAX_DEPTH + 1)))
    }

    /** Guards against rejecting documents with many values that are not nested. */
    @Test
    fun `does not count brackets that are closed, in strings or in comments`() {
        assertFalse(JsonNesting.exceedsLimit("[" + "{},[],".repeat(1_000) + "1]"))
        assertFalse(JsonNesting.exceedsLimit("[\"" + "[\\\"".repeat(1_000) + "\"]"))
        assertFalse(JsonNesting.exceedsLimit("// " + "[".repeat(1_000) + "\n/* " + "{".repeat(1_000) + "*/ []"))
    }

    /** Guards against brackets that are not counted because a quote or the end of a comment was misread. */
    @Test
    fun `counts brackets after strings and comments`() {
        val deep = nested(1_000)
        for (before in listOf("\"\\\\\"", "\"\\\"\"", "// \" \n", "/* \" */", "/**/", "/*/ */")) {
            assertTrue(JsonNesting.exceedsLimit(before + deep), before)
        }
        for (text in listOf("\"", "\"\\", "/", "//", "/*")) assertFalse(JsonNesting.exceedsLimit(text), text)
    }
}
