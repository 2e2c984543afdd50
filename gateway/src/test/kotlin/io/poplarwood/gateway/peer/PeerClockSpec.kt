package io.poplarwood.gateway.peer

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The sender's clock shows 1,000 s when this entry's shows 100 s; a quick heartbeat takes 2 ms. */
class PeerClockSpec {
    private val clock = PeerClock()

    private fun sentMs(sentAt: Duration) = (sentAt + 900.seconds).inWholeMilliseconds

    private fun receive(sentAt: Duration, delay: Duration = 2.milliseconds) =
        clock.record(sentMs(sentAt), (sentAt - 10.seconds).inWholeMilliseconds, sentAt + delay)

    private fun receiveThree(from: Duration = 100.seconds, delay: Duration = 2.milliseconds) =
        repeat(3) { receive(from + 400.milliseconds * it, delay) }

    private fun error(sentAt: Duration) = checkNotNull(clock.sentAt(sentMs(sentAt))) - sentAt

    @Nested
    inner class `the time at which a heartbeat was sent` {
        @Test
        fun `is unknown until there are several`() {
            receive(100.seconds)
            receive(100.4.seconds)
            assertNull(clock.sentAt(sentMs(100.4.seconds)))
        }

        /** Guards against confirmations that are taken for younger than they are, because they were read late. */
        @Test
        fun `does not move with the delay until it is read`() {
            receiveThree()
            receive(102.seconds, delay = 1.5.seconds)
            assertEquals((-48).milliseconds, error(102.seconds))
        }

        /** Guards against confirmations that hold too long, sent by an entry whose VM stood still. */
        @Test
        fun `is taken for too early while the sender's clock has stood still`() {
            receiveThree()
            val stopped = 3.seconds
            clock.record(sentMs(105.seconds) - stopped.inWholeMilliseconds, 95_000 - 3_000, 105.002.seconds)
            val sentAt = checkNotNull(clock.sentAt(sentMs(105.seconds) - stopped.inWholeMilliseconds))
            assertTrue(sentAt < 105.seconds - stopped)
        }

        /** Guards against an entry that confirms nothing any more, because its VM stood still once. */
        @Test
        fun `is known again a minute after the sender's clock stood still`() {
            receiveThree()
            for (i in 0..160) {
                val at = 105.seconds + 400.milliseconds * i
                clock.record(sentMs(at) - 3_000, (at - 13.seconds).inWholeMilliseconds, at + 2.milliseconds)
            }
            val sentAt = checkNotNull(clock.sentAt(sentMs(169.seconds) - 3_000))
            assertEquals((-48).milliseconds, sentAt - 169.seconds)
        }

        /** Guards against the clock of an earlier process of the same name. */
        @Test
        fun `is unknown after the sender started again`() {
            receiveThree()
            clock.record(5_000, 100, 110.seconds)
            assertNull(clock.sentAt(5_000))
        }
    }

    @Test
    fun `the delay of a heartbeat counts from the quickest one`() {
        receiveThree()
        assertEquals(498.milliseconds, clock.delay(sentMs(103.seconds), 103.5.seconds))
    }
}
