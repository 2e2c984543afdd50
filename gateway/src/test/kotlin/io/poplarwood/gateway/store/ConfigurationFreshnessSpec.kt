package io.poplarwood.gateway.store

import io.poplarwood.gateway.support.storeVersion
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ConfigurationFreshnessSpec {
    private val freshness = ConfigurationFreshness().apply { accept(storeVersion(10)) }
    private val now = 100.seconds

    private fun heard(peer: String, inForce: Long, confirmedAt: Duration, received: Long = inForce) =
        freshness.heard(peer, storeVersion(inForce), storeVersion(received), confirmedAt, now)

    private fun overtakenSince() = freshness.age(now).overtakenSince

    @Nested
    inner class `a confirmation by a peer` {
        @Test
        fun `holds for an entry that has the same version, at the time that the peer says`() {
            heard("p", 10, 98.seconds)
            assertEquals(98.seconds, freshness.confirmedAt)
        }

        /** Guards against an entry that takes a newer version's confirmation for its own and answers 404. */
        @Test
        fun `tells nothing to an entry that lacks the version, also once the peer is silent`() {
            heard("p", 11, 98.seconds)
            freshness.forget("p")
            assertEquals(Duration.INFINITE, freshness.age(now).staleness)
        }

        @Test
        fun `of an older version is ignored`() {
            heard("p", 9, 98.seconds)
            assertEquals(-Duration.INFINITE, freshness.confirmedAt)
        }

        /** Guards against confirmations that move back when heartbeats arrive out of order. */
        @Test
        fun `does not replace a later one`() {
            heard("p", 10, 98.seconds)
            heard("q", 10, 97.seconds)
            assertEquals(98.seconds, freshness.confirmedAt)
        }
    }

    @Nested
    inner class `a newer version at a peer` {
        @Test
        fun `overtakes this entry from the moment at which it is announced`() {
            assertFalse(freshness.age(now).newerKnown)
            freshness.heard("p", storeVersion(11), storeVersion(11), now, 50.seconds)
            heard("q", 11, now)
            assertEquals(50.seconds, overtakenSince())
            assertEquals("p", freshness.behind?.source)
        }

        /** Guards against a chain of changes in which an entry never counts as long behind, or always does. */
        @Test
        fun `counts from its own announcement once the earlier ones are in force`() {
            freshness.heard("p", storeVersion(11), storeVersion(11), now, 50.seconds)
            freshness.heard("p", storeVersion(12), storeVersion(12), now, 60.seconds)
            freshness.accept(storeVersion(11))
            assertEquals(60.seconds, overtakenSince())
            freshness.accept(storeVersion(12))
            assertNull(overtakenSince())
            assertNull(freshness.behind)
        }

        /** Guards against a whole installation that refuses requests because of a version that nobody has any more. */
        @Test
        fun `does not overtake this entry once all peers that have it are silent`() {
            heard("p", 11, now)
            freshness.forget("p")
            assertNull(overtakenSince())
            assertFalse(freshness.age(now).newerKnown)
        }

        @Test
        fun `that comes back with the peer counts from its first announcement`() {
            freshness.heard("p", storeVersion(11), storeVersion(11), now, 50.seconds)
            freshness.forget("p")
            heard("q", 11, now)
            assertEquals(50.seconds, overtakenSince())
        }
    }

    @Nested
    inner class `a version that cannot be decoded` {
        /** Guards against refusing all requests where no entry can read a version. */
        @Test
        fun `is known to be newer, but does not overtake this entry`() {
            assertTrue(freshness.reject(storeVersion(11), now, "store"))
            heard("p", 11, now)
            assertTrue(freshness.age(now).newerKnown)
            assertTrue(freshness.unreadable)
            assertNull(overtakenSince())
        }

        @Test
        fun `is counted once`() {
            freshness.reject(storeVersion(11), now, "store")
            assertFalse(freshness.reject(storeVersion(11), now, "p"))
            assertEquals(1, freshness.unreadableCount)
        }

        /** Guards against all entries polling the store while a version that none can read is the newest. */
        @Test
        fun `at all entries does not end the confirmations`() {
            freshness.reject(storeVersion(11), now, "store")
            heard("p", 10, 99.seconds, received = 11)
            assertEquals(99.seconds, freshness.confirmedAt)
            assertTrue(freshness.age(now).newerKnown)
        }

        @Test
        fun `is over with the next one that can`() {
            freshness.reject(storeVersion(11), now, "store")
            freshness.accept(storeVersion(12))
            assertFalse(freshness.age(now).newerKnown)
            assertNull(freshness.behind)
        }
    }

    /** Guards against memory that grows at an entry which can never catch up. */
    @Test
    fun `the number of announcements is bounded, and the earliest is kept`() {
        for (version in 11L..1_000L) {
            freshness.heard(
                "p",
                storeVersion(version),
                storeVersion(version),
                now,
                version.seconds,
            )
        }
        assertEquals(11.seconds, overtakenSince())
        freshness.accept(storeVersion(999))
        assertEquals(74.seconds, overtakenSince())
    }
}
