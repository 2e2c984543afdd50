package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.store.ConfigurationAge
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** With a bound of 2 s. An entry refuses 0.5 s earlier, since it hears of a change after the store has it. */
class FreshnessPolicySpec {
    private val now = 100.seconds

    private fun age(
        staleness: Duration = 1.seconds,
        overtakenFor: Duration? = null,
        newerKnown: Boolean = overtakenFor != null,
    ) = ConfigurationAge(staleness, newerKnown, overtakenFor?.let { now - it })

    private fun withRoute(age: ConfigurationAge) = FreshnessPolicy.verdict(true, age, now, 2.seconds)

    private fun withoutRoute(age: ConfigurationAge) = FreshnessPolicy.verdict(false, age, now, 2.seconds)

    @Nested
    inner class `a request with a route` {
        @Test
        fun `is served by a current entry`() = assertEquals(FreshnessVerdict.SERVE, withRoute(age()))

        /** Guards against an installation that stops because the store is away. */
        @Test
        fun `is served however long ago the configuration was confirmed`() {
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(3.hours)))
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(Duration.INFINITE)))
        }

        /** Guards against handling by a configuration that was replaced longer ago than the bound. */
        @Test
        fun `is refused once another entry has had a newer configuration for too long`() {
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(overtakenFor = 1_500.milliseconds)))
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withRoute(age(overtakenFor = 1_501.milliseconds)))
        }

        @Test
        fun `is served while the newer configuration cannot be decoded`() =
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(newerKnown = true)))
    }

    @Nested
    inner class `a request without a route` {
        @Test
        fun `gets 404 while the configuration is the newest`() =
            assertEquals(FreshnessVerdict.NOT_FOUND, withoutRoute(age(2.seconds)))

        /** Guards against 404 for a route that was added while this entry heard nothing. */
        @Test
        fun `is refused when nothing confirmed the configuration within the bound`() {
            assertEquals(FreshnessVerdict.REFUSE_UNTIL_CONFIRMED, withoutRoute(age(2_001.milliseconds)))
            assertEquals(FreshnessVerdict.REFUSE_UNTIL_CONFIRMED, withoutRoute(age(Duration.INFINITE)))
        }

        /** Guards against 404 for a route that another entry already serves. */
        @Test
        fun `is refused as soon as another entry has a newer configuration`() =
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withoutRoute(age(overtakenFor = Duration.ZERO)))

        @Test
        fun `is refused while the newer configuration cannot be decoded`() =
            assertEquals(FreshnessVerdict.REFUSE_UNTIL_CONFIRMED, withoutRoute(age(newerKnown = true)))
    }

    @Nested
    inner class `a request in the queue` {
        private fun expired(arrivedFor: Duration, age: ConfigurationAge) =
            FreshnessPolicy.expiredInQueue(now - arrivedFor, age, now, 2.seconds)

        /** Guards against an attempt under a route that was replaced longer ago than the bound. */
        @Test
        fun `is not sent any more when it came after a newer configuration that is overdue`() {
            assertTrue(expired(1.seconds, age(overtakenFor = 1_600.milliseconds)))
            assertFalse(expired(1.seconds, age(overtakenFor = 1_400.milliseconds)))
        }

        /** Guards against refusing requests that have waited long and may be handled by the older configuration. */
        @Test
        fun `is sent when it came before the newer configuration`() =
            assertFalse(expired(2.seconds, age(overtakenFor = 1_600.milliseconds)))

        @Test
        fun `is sent at a current entry`() = assertFalse(expired(2.seconds, age()))
    }

    /** Guards against a bound below the margin, with which the difference is negative. */
    @Test
    fun `a bound below the margin refuses after the first moment`() {
        val verdict = { overtakenFor: Duration ->
            FreshnessPolicy.verdict(true, age(overtakenFor = overtakenFor), now, 300.milliseconds)
        }
        assertEquals(FreshnessVerdict.SERVE, verdict(Duration.ZERO))
        assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, verdict(1.milliseconds))
    }
}
