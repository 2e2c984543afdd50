package io.poplarwood.gateway.decision.crash

import io.poplarwood.api.random.SplitMix
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
    private fun lost(id: Int, at: Duration, confirmed: Boolean = true, since: Duration = at - 1.milliseconds) =
        suspects.recordLoss(7, CrashLoss(id.toLong(), "u$id", since, at, confirmed), at)

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
            suspects.recordLoss(fingerprint, CrashLoss(random.nextLong(), "u", at - 1.milliseconds, at, true), at)
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
            lost(1, 1.seconds, confirmed = false)
            suspects.recordAnswer(7, 1_010.milliseconds)
            assertFalse(suspects.confirm(7, 1, 1_100.milliseconds))
            assertEquals(0, suspects.lossCount(7))
        }

        /** Guards against refusing a common request because a rack of upstreams failed. */
        @Test
        fun `is not refused because many upstreams ended at the same moment while they executed it`() {
            for (i in 1..9) lost(i, 1.seconds + i.milliseconds, since = 900.milliseconds)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 2.seconds))
        }

        /** Guards against refusing a common request for long because connections broke. */
        @Test
        fun `is held briefly while it is not confirmed that upstreams ended`() {
            for (i in 1..3) lost(i, i.milliseconds * 10, confirmed = false)
            assertEquals(CrashVerdict.HELD, suspects.verdict(7, 100.milliseconds))
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 1_100.milliseconds))
        }

        @Test
        fun `is admitted again when an upstream is known to be running`() {
            for (i in 1..3) lost(i, i.milliseconds * 10, confirmed = false)
            suspects.removeLoss(7, 2)
            assertEquals(CrashVerdict.ADMITTED, suspects.verdict(7, 100.milliseconds))
        }
    }
}
