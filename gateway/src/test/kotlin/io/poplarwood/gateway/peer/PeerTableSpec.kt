package io.poplarwood.gateway.peer

import io.poplarwood.gateway.support.hello
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class PeerTableSpec {
    private val peers = PeerTable("a1")

    private fun know(vararg names: String) =
        names.forEach { peers.addStored(it, PeerRecord(it.take(1), "$it:80", "$it:1"), 0.seconds) }

    @Nested
    inner class `the entries that share a budget` {
        /** Guards against entries that become active together, know few others and spend the budget several times. */
        @Test
        fun `are at least two of each zone, also where no heartbeat arrived for long`() {
            know("a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3")
            assertEquals(1 + 2 + 2 + 2, peers.budgetSharers(30.seconds))
        }

        @Test
        fun `are all that took requests within the window`() {
            know("b1", "b2", "b3", "b4")
            for (id in listOf("b1", "b2", "b3")) peers.onHeartbeat(hello(id, "b", active = false, rate = 5), 0.seconds)
            peers.onHeartbeat(hello("b4", "b", active = false, rate = 0), 0.seconds)
            peers.markSilent(9.seconds)
            assertEquals(1 + 3, peers.budgetSharers(11.seconds))
            assertEquals(1 + 2, peers.budgetSharers(30.seconds))
        }

        /** Guards against idle entries that hold a share of the budget which nobody can use. */
        @Test
        fun `are not those that take no requests`() {
            know("b1", "b2", "b3", "b4")
            for (i in 1..4) peers.onHeartbeat(hello("b$i", "b", active = i <= 2, rate = 0), 29.seconds)
            assertEquals(1 + 2, peers.budgetSharers(30.seconds))
        }

        @Test
        fun `are all known entries shortly after the start`() {
            know("b1", "b2", "b3", "b4")
            assertEquals(1 + 4, peers.budgetSharers(5.seconds))
        }
    }

    @Nested
    inner class `each change of load goes at once` {
        private fun needsUpdates(active: Boolean, rate: Int): Boolean {
            peers.onHeartbeat(hello("b1", "b", active = active, rate = rate), 0.seconds)
            return peers["b1"]?.needsLoadUpdates == true
        }

        @Test
        fun `to entries that take callers, and to others with many requests`() {
            assertTrue(needsUpdates(active = true, rate = 0))
            assertTrue(needsUpdates(active = false, rate = 5))
        }

        /** Guards against updates to all standby entries because each received a single request. */
        @Test
        fun `not to standby entries with few requests, nor to silent ones`() {
            assertFalse(needsUpdates(active = false, rate = 4))
            assertTrue(needsUpdates(active = true, rate = 0))
            peers.markSilent(9.seconds)
            assertFalse(peers["b1"]?.needsLoadUpdates == true)
        }
    }
}
