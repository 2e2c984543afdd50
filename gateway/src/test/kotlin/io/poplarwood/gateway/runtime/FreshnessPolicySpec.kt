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

/** With a bound of 2 s. */
class FreshnessPolicySpec {
    private val now = 100.seconds

    private fun age(
        staleness: Duration = 1.seconds,
        overtakenFor: Duration? = null,
        newerKnown: Boolean = overtakenFor != null,
    ) = ConfigurationAge(staleness, newerKnown, overtakenFor?.let { now - it })

    private fun withRoute(age: ConfigurationAge, storeAway: Boolean = false) =
        FreshnessPolicy.verdict(true, age, storeAway, 2.seconds)

    private fun withoutRoute(age: ConfigurationAge, storeAway: Boolean = false) =
        FreshnessPolicy.verdict(false, age, storeAway, 2.seconds)

    @Nested
    inner class `a request with a route` {
        @Test
        fun `is served by a current entry`() = assertEquals(FreshnessVerdict.SERVE, withRoute(age()))

        /** Guards against an installation that stops because the store is away. */
        @Test
        fun `is served however long ago the configuration was confirmed, while the store is away`() {
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(3.hours), storeAway = true))
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(Duration.INFINITE), storeAway = true))
        }

        /** Guards against an entry that is too busy to hear of anything and serves on. */
        @Test
        fun `is refused when nothing confirmed the configuration within the bound`() {
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(2.seconds)))
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withRoute(age(2_001.milliseconds)))
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withRoute(age(Duration.INFINITE)))
        }

        /** Guards against an age that is counted from the news of a newer configuration, which may be read late. */
        @Test
        fun `is refused by the age of the confirmation, however lately a newer configuration was announced`() {
            val announced = age(2_001.milliseconds, overtakenFor = Duration.ZERO)
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withRoute(announced))
            assertEquals(FreshnessVerdict.SERVE, withRoute(age(2.seconds, overtakenFor = 1.seconds)))
        }

        /** Guards against handling by a replaced configuration because the store has gone away since. */
        @Test
        fun `is refused while the store is away and another entry has a newer configuration`() {
            val overtaken = age(2_001.milliseconds, overtakenFor = 1.seconds)
            assertEquals(FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY, withRoute(overtaken, storeAway = true))
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
            for (storeAway in listOf(false, true)) {
                val verdicts = listOf(2_001.milliseconds, Duration.INFINITE).map { withoutRoute(age(it), storeAway) }
                assertEquals(List(2) { FreshnessVerdict.REFUSE_UNTIL_CONFIRMED }, verdicts)
            }
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
    inner class `a request that has waited` {
        private fun maySend(waited: Duration, age: ConfigurationAge, storeAway: Boolean = false) =
            FreshnessPolicy.maySend(waited, age, storeAway, 2.seconds)

        /** Guards against an attempt under a route that was replaced longer ago than the bound. */
        @Test
        fun `is not sent when it came later than the bound after the last confirmation`() {
            assertFalse(maySend(1.seconds, age(3_001.milliseconds, overtakenFor = 100.milliseconds)))
            assertFalse(maySend(1.seconds, age(3_001.milliseconds)))
            assertTrue(maySend(1.seconds, age(3.seconds, overtakenFor = 100.milliseconds)))
        }

        /** Guards against a request that was admitted because the store was away, when a newer configuration shows. */
        @Test
        fun `is not sent any more once another entry has a newer configuration`() {
            assertTrue(maySend(1.seconds, age(1.hours), storeAway = true))
            assertFalse(maySend(1.seconds, age(1.hours, overtakenFor = Duration.ZERO), storeAway = true))
        }

        /** Guards against refusing requests that have waited long and may be handled by the older configuration. */
        @Test
        fun `is sent when it came within the bound`() = assertTrue(maySend(2.seconds, age(4.seconds)))
    }
}
