package io.poplarwood.gateway.upstream

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class LimitNoticeSpec {
    private fun parse(vararg values: String) = LimitNotice.parse(values.toList())

    @Nested
    inner class `a decimal number` {
        @Test
        fun `is the limit in requests per second`() {
            assertEquals(LimitNotice.Limited(1.8), parse("1.8"))
            assertEquals(LimitNotice.Limited(40.0), parse(" 40 "))
            assertEquals(LimitNotice.Limited(0.5), parse(".5"))
        }

        @Test
        fun `may be zero, tiny or huge`() {
            assertEquals(LimitNotice.Limited(0.0), parse("0"))
            assertEquals(LimitNotice.Limited(0.000001), parse("0.000001"))
            assertEquals(LimitNotice.Limited(999_999_999_999.0), parse("999999999999"))
        }
    }

    @Nested
    inner class `several values` {
        /** Guards against using the higher one of two limits. */
        @Test
        fun `count as the lowest of them`() {
            assertEquals(LimitNotice.Limited(2.0), parse("3", "2"))
            assertEquals(LimitNotice.Limited(2.0), parse("2, 3"))
            assertEquals(LimitNotice.Limited(4.0), parse("4", "4"))
        }

        @Test
        fun `count as the readable one if the other is malformed`() {
            assertEquals(LimitNotice.Limited(3.0), parse("none", "3"))
        }
    }

    @Nested
    inner class `no value` {
        @Test
        fun `is no limit`() = assertEquals(LimitNotice.Absent, parse())
    }

    @Nested
    inner class `anything else` {
        /** Guards against taking a broken header for a limit or for the end of one. */
        @Test
        fun `is malformed`() {
            val texts = listOf("", "-1", "+1", "NaN", "Infinity", "1e3", "0x1p3", "1f", "two", "1 2", "1;2", "1.2.3")
            val tooLong = "9".repeat(400)
            for (text in texts + "." + tooLong) assertEquals(LimitNotice.Malformed, parse(text), "'$text'")
        }
    }
}
