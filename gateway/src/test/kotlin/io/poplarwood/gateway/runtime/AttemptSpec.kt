package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AttemptSpec {
    private val start = 10.seconds
    private val row = UpstreamRow(upstream("u1"), Duration.ZERO)

    private fun stateAfter(time: Duration) = Attempt.describeKnownState(row, start + time, losses = 0)

    /** Guards against a log in which nothing says why an upstream was, or was not, a good choice. */
    @Nested
    inner class `the trail of a request` {
        @Test
        fun `names no state of an upstream that receives work`() = assertEquals("load=0/3", stateAfter(Duration.ZERO))

        @Test
        fun `names that the pause of the upstream has just ended`() {
            row.availability.apply(AvailabilityInput.PauseRequested(1.seconds), start)
            assertEquals("load=0/3,returning", stateAfter(1_100.milliseconds))
            assertEquals("load=0/3,deferred", stateAfter(900.milliseconds))
        }

        @Test
        fun `names that the upstream is on trial`() {
            repeat(2) { row.availability.apply(AvailabilityInput.Lost, start) }
            assertEquals("load=0/3,on_trial", stateAfter(500.milliseconds))
        }

        @Test
        fun `names that the upstream has said that it leaves`() {
            row.availability.apply(AvailabilityInput.Draining, start)
            assertEquals("load=0/3,leaving", stateAfter(10.milliseconds))
        }
    }
}
