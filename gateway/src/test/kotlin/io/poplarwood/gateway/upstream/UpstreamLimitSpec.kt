package io.poplarwood.gateway.upstream

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class UpstreamLimitSpec {
    private val limit = UpstreamLimit()

    private fun answer(perSecond: Double?, sentMs: Int, receivedMs: Int) =
        limit.apply(LimitObservation(perSecond, sentMs.milliseconds, receivedMs.milliseconds))

    @Nested
    inner class `a limit that is named` {
        @Test
        fun `applies at once`() {
            assertFalse(answer(null, 0, 10))
            assertTrue(answer(2.0, 20, 30))
            assertEquals(2.0, limit.perSecond)
        }

        @Test
        fun `ends with a newer answer that names none`() {
            answer(2.0, 20, 30)
            assertTrue(answer(null, 30, 40))
            assertNull(limit.perSecond)
        }

        /** Guards against an older answer without a limit that is received after a newer one with a limit. */
        @Test
        fun `does not end with an answer whose request was sent before`() {
            answer(2.0, 20, 30)
            assertFalse(answer(null, 25, 40))
            assertEquals(2.0, limit.perSecond)
        }

        /** Guards against the end of a limit while other entries still receive answers that name it. */
        @Test
        fun `does not end with an answer whose request was sent before the last answer that named it`() {
            answer(2.0, 20, 30)
            answer(2.0, 40, 60)
            assertFalse(answer(null, 50, 70))
            assertTrue(answer(null, 60, 80))
        }
    }

    @Nested
    inner class `a limit that changes` {
        @Test
        fun `applies at once when it is lower, even if the answers may have overtaken each other`() {
            answer(4.0, 20, 40)
            assertTrue(answer(2.0, 10, 50))
            assertEquals(2.0, limit.perSecond)
        }

        /** Guards against a lower limit that was replaced before the request of the current answer was sent. */
        @Test
        fun `does not return to a lower one that is known to be older`() {
            answer(4.0, 60, 80)
            assertFalse(answer(2.0, 10, 50))
            assertEquals(4.0, limit.perSecond)
        }

        @Test
        fun `applies only from a newer request when it is higher`() {
            answer(2.0, 20, 40)
            assertFalse(answer(4.0, 30, 50))
            assertTrue(answer(4.0, 40, 60))
            assertEquals(4.0, limit.perSecond)
        }
    }
}
