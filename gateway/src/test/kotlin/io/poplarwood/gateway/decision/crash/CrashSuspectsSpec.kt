package io.poplarwood.gateway.decision.crash

import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.upstream.IncarnationId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class CrashSuspectsSpec {
    private val suspects = CrashSuspects()

    /** Records a loss; by default the request was sent one millisecond before it. */
    private fun lost(
        id: Int,
        at: Duration,
        fate: UpstreamFate = UpstreamFate.ENDED,
        since: Duration = at - 1.milliseconds,
        endSeen: Boolean = true,
        runsUntil: Duration = at,
    ) = suspects.recordLoss(7, CrashLoss(id.toLong(), upstream(id), since, at, fate, endSeen, runsUntil), at)

    private fun upstream(id: Int) = IncarnationId("u$id", 0)

    @Nested
    inner class `a request under which upstreams ended` {
        /** Guards against a request that keeps crashing upstreams. */
        @Test
        fun `is refused after three consecutive losses`() {
            lost(1, 1.seconds)
            lost(2, 2.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 3.seconds))
            lost(3, 3.seconds)
            assertEquals(CrashVerdict.REFUSED, suspects.verdict(7, 4.seconds))
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(8, 4.seconds))
        }

        /** Guards against counting one loss several times because several entries report it. */
        @Test
        fun `is not refused for one loss that is reported repeatedly`() {
            repeat(5) { lost(1, 1.seconds) }
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 2.seconds))
        }

        /** Guards against readmitting a request that keeps arriving for longer than losses are retained. */
        @Test
        fun `stays refused while it keeps arriving`() {
            for (i in 1..3) lost(i, i.seconds)
            for (minute in 1..30) assertEquals(CrashVerdict.REFUSED, suspects.verdict(7, minute.minutes), "at $minute")
        }

        /** Guards against equal requests that overlap, of which only those that began after an end were counted. */
        @Test
        fun `is refused after three ends of requests that overlap`() {
            for (i in 1..3) lost(i, 2.seconds + i.milliseconds * 120, since = i.milliseconds * 120)
            assertEquals(CrashVerdict.REFUSED, suspects.verdict(7, 3.seconds))
        }

        /** Guards against an upstream that is presumed to be running and turns out to have ended. */
        @Test
        fun `is refused when upstreams that accepted connections have registered again`() {
            for (i in 1..3) {
                lost(i, i.seconds, UpstreamFate.UNKNOWN)
                suspects.presumeRunning(7, i.toLong())
            }
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 4.seconds))
            for (i in 1..3) suspects.upstreamEnded(upstream(i), 4.seconds)
            assertEquals(CrashVerdict.REFUSED, suspects.verdict(7, 4.seconds))
        }

        /** Guards against an attempt that is given up after the end of its upstream is known already. */
        @Test
        fun `counts a loss at an upstream that is known to have ended since`() {
            suspects.upstreamEnded(upstream(1), 1.seconds)
            lost(1, 3.seconds, UpstreamFate.UNKNOWN, since = 500.milliseconds, endSeen = false)
            assertTrue(checkNotNull(suspects.loss(7, 1)).ended)
        }

        @Test
        fun `is admitted again when it has not arrived for ten minutes`() {
            for (i in 1..3) lost(i, i.seconds)
            assertEquals(CrashVerdict.REFUSED, suspects.verdict(7, 9.minutes))
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 20.minutes))
        }
    }

    @Nested
    inner class `a refusal` {
        private fun loseThree(fingerprint: Long, from: Duration) = repeat(3) {
            val at = from + it.milliseconds * 10
            val loss = CrashLoss(random.nextLong(), upstream(1), at - 1.milliseconds, at, UpstreamFate.ENDED)
            suspects.recordLoss(fingerprint, loss, at)
        }

        private val random = SplitMix(1)

        /** Guards against a second refusal that is neither logged nor stored. */
        @Test
        fun `is reported again after an answer ended it`() {
            loseThree(7, 1.seconds)
            assertTrue(suspects.becameRefused(7))
            suspects.recordAnswer(7, 2.seconds)
            assertFalse(suspects.becameRefused(7))
            loseThree(7, 3.seconds)
            assertTrue(suspects.becameRefused(7))
            assertFalse(suspects.becameRefused(7))
        }
    }

    @Nested
    inner class `a common request` {
        /** Guards against refusing a common request because upstreams crashed while they executed it. */
        @Test
        fun `is cleared by an answer`() {
            for (i in 1..3) lost(i, i.seconds)
            suspects.recordAnswer(7, 3.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 4.seconds))
        }

        /** Guards against counting a loss that is confirmed after a retry of the request was already answered. */
        @Test
        fun `is not blamed for a loss that is confirmed after an answer`() {
            lost(1, 1.seconds, UpstreamFate.UNKNOWN)
            suspects.recordAnswer(7, 1_010.milliseconds)
            assertEquals(emptyList(), suspects.upstreamEnded(upstream(1), 1_100.milliseconds))
            assertEquals(0, suspects.lossCount(7, 1_100.milliseconds))
        }

        /** Guards against refusing a common request because a rack of upstreams failed. */
        @Test
        fun `is not refused because many upstreams ended at the same moment while they executed it`() {
            for (i in 1..9) lost(i, 1.seconds + i.milliseconds, since = 900.milliseconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 2.seconds))
        }

        /** Guards against upstreams that end silently and are found to accept connections when they are back. */
        @Test
        fun `is held until it is known what became of the upstreams`() {
            for (i in 1..3) lost(i, i.milliseconds * 10, UpstreamFate.UNKNOWN)
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 100.milliseconds))
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 5.seconds))
        }

        /** Guards against refusing a common request because connections broke. */
        @Test
        fun `is admitted again at once when an upstream accepts connections`() {
            for (i in 1..3) lost(i, i.milliseconds * 10, UpstreamFate.UNKNOWN)
            suspects.presumeRunning(7, 2)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 100.milliseconds))
        }

        /**
         * Guards against refusing a common request for longer than registrations last because upstreams were silent.
         */
        @Test
        fun `is admitted again when the registration of an upstream should have expired and has not`() {
            for (i in 1..3) lost(i, i.milliseconds * 10, UpstreamFate.UNKNOWN, endSeen = false)
            suspects.dismissRegistered(5_509.milliseconds, 5_500.milliseconds)
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 5_509.milliseconds))
            suspects.dismissRegistered(5_510.milliseconds, 5_500.milliseconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 5_510.milliseconds))
        }

        /** Guards against an answer of the next incarnation that is taken for one of the upstream that ended. */
        @Test
        fun `is admitted again by an answer on a connection that is older than the attempt only`() {
            for (i in 1..3) lost(i, 1.seconds, UpstreamFate.UNKNOWN, since = 500.milliseconds, endSeen = false)
            suspects.upstreamAnswered(upstream(2), openedAt = 501.milliseconds, now = 3.seconds)
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 3.seconds))
            suspects.upstreamAnswered(upstream(2), openedAt = 500.milliseconds, now = 3.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 3.seconds))
        }

        /** Guards against an answer that may be a late copy of an older one and hides a newer one. */
        @Test
        fun `stays admitted when an answer that may be older follows`() {
            for (i in 1..3) {
                lost(
                    i,
                    1.seconds,
                    UpstreamFate.UNKNOWN,
                    since = 500.milliseconds,
                    endSeen = false,
                    runsUntil = 9.seconds,
                )
            }
            suspects.upstreamAnswered(upstream(2), openedAt = 100.milliseconds, now = 3.seconds)
            suspects.upstreamAnswered(upstream(2), openedAt = 100.milliseconds, now = 2.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 5.seconds))
        }

        /** Guards against a late copy of an answer from before the attempt that clears its upstream. */
        @Test
        fun `stays held by an answer that may be from before the upstream could have ended`() {
            for (i in 1..3) lost(i, i.seconds, UpstreamFate.UNKNOWN)
            suspects.upstreamAnswered(upstream(3), openedAt = 100.milliseconds, now = 2_900.milliseconds)
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 4.seconds))
            suspects.upstreamAnswered(upstream(3), openedAt = 100.milliseconds, now = 3.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 4.seconds))
        }

        /** Guards against an upstream that ends silently after it has answered others. */
        @Test
        fun `is held again when an upstream that may run it has become silent since its answer`() {
            for (i in 1..3) {
                suspects.recordLoss(
                    7,
                    CrashLoss(
                        i.toLong(),
                        upstream(i),
                        500.milliseconds,
                        1.seconds,
                        UpstreamFate.UNKNOWN,
                        endSeen = false,
                        runsUntil = 9.seconds,
                    ),
                    1.seconds,
                )
            }
            suspects.upstreamAnswered(upstream(2), openedAt = 100.milliseconds, now = 3.seconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 5.seconds))
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 5_001.milliseconds))
        }
    }
}
