package io.poplarwood.gateway.limit

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitPoolSpec {
    private val events = ArrayList<PermitEvent>()
    private val pool = PermitPool<String>({ 500.milliseconds }, events::add)
    private val start = 10.seconds

    @Nested
    inner class `a permit` {
        @Test
        fun `is used once`() {
            pool.add("k", priority = 0, number = 1, start)
            assertTrue(pool.take("k", 0, start))
            assertFalse(pool.take("k", 0, start))
        }

        /** Guards against permits that are saved up and used all at once. */
        @Test
        fun `lapses`() {
            pool.add("k", priority = 0, number = 1, start)
            assertFalse(pool.has("k", 0, start + 510.milliseconds))
            assertEquals(listOf(PermitEvent.RECEIVED, PermitEvent.LAPSED), events)
        }

        /** Guards against background requests that use the permits of urgent ones. */
        @Test
        fun `is kept for requests as urgent as its own, and for any when it would lapse`() {
            pool.add("k", priority = 1, number = 1, start)
            assertTrue(pool.has("k", 0, start))
            assertTrue(pool.has("k", 1, start))
            assertFalse(pool.has("k", 2, start))
            assertTrue(pool.has("k", 2, start + 260.milliseconds))
        }
    }

    @Nested
    inner class `a request for a permit` {
        @Test
        fun `is not repeated before it lapses, except for a more urgent need`() {
            assertTrue(pool.shouldAsk("k", 1, start))
            pool.recordAsked("k", 1, start)
            assertFalse(pool.shouldAsk("k", 1, start + 100.milliseconds))
            assertTrue(pool.shouldAsk("k", 0, start + 100.milliseconds))
            assertTrue(pool.shouldAsk("k", 1, start + 510.milliseconds))
        }

        @Test
        fun `is made again after its permit was used`() {
            pool.recordAsked("k", 0, start)
            pool.add("k", 0, 1, start)
            assertFalse(pool.shouldAsk("k", 0, start))
            pool.take("k", 0, start)
            assertTrue(pool.shouldAsk("k", 0, start))
        }
    }
}
