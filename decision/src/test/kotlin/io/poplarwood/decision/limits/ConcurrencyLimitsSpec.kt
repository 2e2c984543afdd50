package io.poplarwood.decision.limits

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class ConcurrencyLimitsSpec {
    private val limits = ConcurrencyLimits().also { it.setReportedSlots(0, 6) }

    private fun adaptFor(count: Int, sheds: Int = 0, latency: () -> Double) = repeat(count) {
        limits.adapt(0, latency(), sheds)
    }

    @Nested
    inner class `an upstream that queues` {
        /** Guards against queues within the upstream, which no shed would show. */
        @Test
        fun `gets a limit that follows its latency`() {
            adaptFor(10) { 10.0 }
            // From now on it runs only two requests at once; the others queue.
            adaptFor(20) { 10.0 * maxOf(1.0, limits.limit(0) / 2.0) }
            assertTrue(limits.limit(0) <= 4, "limit is ${limits.limit(0)}")
        }
    }

    @Nested
    inner class `an upstream that is only slow` {
        /** Guards against lost capacity: fewer requests at once would not make this upstream faster. */
        @Test
        fun `keeps its limit`() {
            adaptFor(10) { 10.0 }
            adaptFor(30) { 30.0 }
            assertEquals(6, limits.limit(0))
        }
    }

    @Nested
    inner class `an upstream that sheds within its limit` {
        /** Guards against a reported number of slots that is too high, and against a limit that never recovers. */
        @Test
        fun `gets a lower limit until it is quiet again`() {
            adaptFor(1, sheds = 5) { 0.0 }
            assertEquals(4, limits.limit(0))
            adaptFor(40) { 0.0 }
            assertEquals(6, limits.limit(0))
        }
    }
}
