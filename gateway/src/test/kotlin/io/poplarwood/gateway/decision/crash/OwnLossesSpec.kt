package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OwnLossesSpec {
    private val upstream = IncarnationId("u1", 0)
    private val suspects = CrashSuspects()
    private val own = OwnLosses(suspects)

    /** Records a loss of [upstream], which may run its request until ten seconds. */
    private fun announced(id: Long, upstream: IncarnationId = this.upstream) {
        val loss = CrashLoss(id, upstream, 1.seconds, 2.seconds, UpstreamFate.UNKNOWN, runsUntil = 10.seconds)
        suspects.recordLoss(FINGERPRINT, loss, 2.seconds)
        own.add(FINGERPRINT, loss, announced = true)
    }

    private fun provenIds() = own.takeProven().map { it.loss.id }

    @Nested
    inner class `the upstream of an announced loss` {
        /** Guards against a loop that fails again and again for as long as nothing is known of an upstream. */
        @Test
        fun `is not reported while it was never shown to be running`() {
            announced(1)
            repeat(2) { assertEquals(emptyList(), provenIds()) }
        }

        @Test
        fun `is reported once it was shown to be running, and again after a second`() {
            announced(1)
            suspects.upstreamAnswered(upstream, Duration.ZERO, 3.seconds)
            assertEquals(listOf(1L), provenIds())
            suspects.upstreamAnswered(upstream, Duration.ZERO, 3_900.milliseconds)
            assertEquals(emptyList(), provenIds())
            suspects.upstreamAnswered(upstream, Duration.ZERO, 4.seconds)
            assertEquals(listOf(1L), provenIds())
        }

        /** Guards against losses that are not reported because they follow one of which nothing is known. */
        @Test
        fun `is reported behind one of which nothing is known`() {
            announced(1)
            val other = IncarnationId("u2", 0)
            announced(2, other)
            suspects.upstreamAnswered(other, Duration.ZERO, 3.seconds)
            assertEquals(listOf(2L), provenIds())
        }
    }

    private companion object {
        const val FINGERPRINT = 7L
    }
}
