package io.poplarwood.gateway.configuration

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TransferSlotsSpec {
    private val slots = TransferSlots(4)
    private var now = Duration.ZERO

    private fun admit(receiver: String, takesCallers: Boolean = false) = slots.admit(receiver, takesCallers, now)

    @Nested
    inner class `receivers` {
        /** Guards against a sender whose link is divided among all that ask. */
        @Test
        fun `beyond the slots are not admitted`() {
            assertTrue(admit("a") && admit("b"))
            assertFalse(admit("c"))
            assertTrue(admit("a"))
        }

        /** Guards against entries with callers that wait for entries without. */
        @Test
        fun `that take callers find slots that are kept for them`() {
            assertTrue(admit("a") && admit("b"))
            assertTrue(admit("c", takesCallers = true) && admit("d", takesCallers = true))
            assertFalse(admit("e", takesCallers = true))
        }

        @Test
        fun `that get nothing more free their slot`() {
            assertTrue(admit("a") && admit("b"))
            slots.release("a")
            assertTrue(admit("c"))
        }

        /** Guards against any number of receivers at the same time when each receives a single message. */
        @Test
        fun `that have all pieces free their slot when the last one has left`() {
            assertTrue(admit("a") && admit("b"))
            slots.finished("a", bytes = 50_000, now)
            now += 79.milliseconds
            assertFalse(admit("c"))
            now += 2.milliseconds
            assertTrue(admit("c"))
        }

        /** Guards against receivers that wait for a wide link as long as for a narrow one. */
        @Test
        fun `free their slot sooner on a wide link`() {
            val wide = TransferSlots.forLink(1_000.0)
            repeat(8) { assertTrue(wide.admit("$it", false, now)) }
            wide.finished("0", bytes = 50_000, now)
            assertFalse(wide.admit("8", false, now))
            now += 7.milliseconds
            assertTrue(wide.admit("8", false, now))
        }

        /** Guards against slots that stay taken by entries that ended during a transfer. */
        @Test
        fun `that stop asking lose their slot`() {
            assertTrue(admit("a") && admit("b"))
            now += 1.seconds
            assertTrue(admit("c"))
        }
    }

    @Nested
    inner class `the number of slots` {
        @Test
        fun `follows the bandwidth of the link within bounds`() =
            assertEquals(listOf(2, 8, 16), listOf(7.0, 40.0, 1_000.0).map { TransferSlots.forLink(it).slots })
    }
}
