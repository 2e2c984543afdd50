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
        /** Guards against queues within the upstream, which cause no sheds. */
        @Test
        fun `gets a limit that follows its latency`() {
            adaptFor(10) { 10.0 }
            // From now on, the upstream runs only two requests concurrently and queues the others.
            adaptFor(20) { 10.0 * maxOf(1.0, limits.limit(0) / 2.0) }
            assertTrue(limits.limit(0) <= 4, "limit is ${limits.limit(0)}")
        }
    }

    @Nested
    inner class `an upstream that is only slow` {
        /** Guards against lost capacity: fewer concurrent requests would not make this upstream faster. */
        @Test
        fun `keeps its limit`() {
            adaptFor(10) { 10.0 }
            adaptFor(30) { 30.0 }
            assertEquals(6, limits.limit(0))
        }
    }

    @Nested
    inner class `an upstream that sheds within its limit` {
        /** Guards against reported slots that are too high, and against a limit that never recovers. */
        @Test
        fun `gets a lower limit until it stops shedding`() {
            adaptFor(1, sheds = 5) { 0.0 }
            assertEquals(4, limits.limit(0))
            adaptFor(40) { 0.0 }
            assertEquals(6, limits.limit(0))
        }
    }
}
