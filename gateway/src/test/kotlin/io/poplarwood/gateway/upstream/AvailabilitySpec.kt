package io.poplarwood.gateway.upstream

import io.poplarwood.gateway.support.upstream
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class AvailabilitySpec {
    private val availability = Availability()
    private val start = 10.seconds

    private fun take(input: AvailabilityInput, at: Duration = start, jitterFraction: Double = 0.0) =
        availability.apply(input, at, jitterFraction)

    private fun state(after: Duration) = availability.state(start + after)

    @Nested
    inner class `an upstream that announces draining` {
        /** Guards against a draining mark that a registration, an answer or the passage of time removes. */
        @Test
        fun `receives no more requests in this incarnation`() {
            take(AvailabilityInput.Draining)
            take(AvailabilityInput.Registered(draining = false, Duration.ZERO))
            take(AvailabilityInput.Answered)
            assertEquals(AvailabilityState.LEAVING, state(10.minutes))
            assertEquals(0, availability.inFlightLimit(3, start + 10.minutes))
            assertNull(availability.earliestUsableAt(start + 10.minutes))
        }

        /** Guards against mixing up two incarnations at one address or with one name. */
        @Test
        fun `is distinguished from its next incarnation, and from others at its address`() {
            val table = UpstreamTable()
            val now = start
            table.put(upstream("u1", born = 1), now)
            table.markDraining("u1", 1, now)
            table.put(upstream("u2", born = 1), now)
            assertEquals(AvailabilityState.READY, table["u2"]?.availability?.state(now))
            table.remove("u1")
            table.put(upstream("u1", born = 1), now)
            assertEquals(AvailabilityState.LEAVING, table["u1"]?.availability?.state(now))
            table.put(upstream("u1", born = 2), now)
            assertEquals(AvailabilityState.READY, table["u1"]?.availability?.state(now))
        }

        /** Guards against a mark that ends although it was renewed, so that the upstream gets requests again. */
        @Test
        fun `stays marked for ten minutes after the last announcement`() {
            val table = UpstreamTable()
            table.markDraining("u1", 1, start)
            table.markDraining("u1", 1, start + 9.minutes)
            table.put(upstream("u1", born = 1), start + 18.minutes)
            assertEquals(AvailabilityState.LEAVING, table["u1"]?.availability?.state(start + 18.minutes))
        }

        /** Guards against a restart that gets no requests because neither run tells when it began. */
        @Test
        fun `is soon distinguished from its next incarnation when it does not tell when it began`() {
            val table = UpstreamTable()
            table.put(upstream("u1", born = 0), start)
            table.markDraining("u1", 0, start)
            table.remove("u1")
            table.put(upstream("u1", born = 0), start + 5.seconds)
            assertEquals(AvailabilityState.LEAVING, table["u1"]?.availability?.state(start + 5.seconds))
            table.remove("u1")
            table.put(upstream("u1", born = 0), start + 11.seconds)
            assertEquals(AvailabilityState.READY, table["u1"]?.availability?.state(start + 11.seconds))
        }
    }

    @Nested
    inner class `an upstream that asks for a pause` {
        @Test
        fun `receives nothing until the pause ends, then a ramped-up load`() {
            take(AvailabilityInput.PauseRequested(2.seconds))
            assertEquals(0, availability.inFlightLimit(6, start + 1_990.milliseconds))
            assertEquals(start + 2.seconds, availability.earliestUsableAt(start))
            assertEquals(1, availability.inFlightLimit(6, start + 2.seconds))
            assertEquals(4, availability.inFlightLimit(6, start + 2_500.milliseconds))
            assertEquals(AvailabilityState.READY, state(3.seconds))
        }

        /** Guards against a pause that a later, shorter one or the answer to an earlier request cuts short. */
        @Test
        fun `is paused for the longest time that it asked for`() {
            take(AvailabilityInput.PauseRequested(5.seconds))
            take(AvailabilityInput.PauseRequested(1.seconds))
            take(AvailabilityInput.Answered)
            assertEquals(AvailabilityState.DEFERRED, state(4.seconds))
        }

        /** Guards against upstreams that all return at the same moment. */
        @Test
        fun `returns at another time than others with the same pause, and never before its end`() {
            take(AvailabilityInput.PauseRequested(2.seconds), jitterFraction = 0.9)
            assertEquals(AvailabilityState.DEFERRED, state(2_400.milliseconds))
            assertEquals(AvailabilityState.RETURNING, state(2_500.milliseconds))
        }

        @Test
        fun `is tried after an hour even if the pause has no end`() {
            take(AvailabilityInput.PauseRequested(Duration.INFINITE))
            assertEquals(AvailabilityState.DEFERRED, state(59.minutes))
            assertEquals(AvailabilityState.READY, state(1.days))
        }
    }

    @Nested
    inner class `a paused upstream whose registration is removed` {
        private val table = UpstreamTable()

        private fun stateAfterReturn(next: Upstream): AvailabilityState? {
            table.put(upstream("u1", born = 1), start)
            table["u1"]?.availability?.apply(AvailabilityInput.PauseRequested(5.seconds), start)
            table.remove("u1")
            table.put(next, start + 1.seconds)
            return table["u1"]?.availability?.state(start + 4.seconds)
        }

        /** Guards against requests within the pause of an upstream whose registration lapsed although it runs. */
        @Test
        fun `is still paused when it is registered again`() {
            assertEquals(AvailabilityState.DEFERRED, stateAfterReturn(upstream("u1", born = 1)))
            assertEquals(AvailabilityState.RETURNING, table["u1"]?.availability?.state(start + 5_100.milliseconds))
        }

        /** Guards against withholding work from an upstream for what its previous incarnation asked. */
        @Test
        fun `is not paused in its next incarnation, or at another address`() {
            assertEquals(AvailabilityState.READY, stateAfterReturn(upstream("u1", born = 2)))
            assertEquals(
                AvailabilityState.READY,
                stateAfterReturn(upstream("u1", born = 1).copy(address = "10.0.0.9:1")),
            )
        }
    }

    @Nested
    inner class `an upstream that does not answer` {
        @Test
        fun `is ejected after the second loss, for longer each time, until an answer ends that`() {
            take(AvailabilityInput.Lost)
            assertEquals(AvailabilityState.READY, state(Duration.ZERO))
            take(AvailabilityInput.Lost)
            assertEquals(AvailabilityState.RESTING, state(390.milliseconds))
            assertEquals(AvailabilityState.ON_TRIAL, state(410.milliseconds))
            take(AvailabilityInput.Lost)
            assertEquals(AvailabilityState.RESTING, state(790.milliseconds))
            take(AvailabilityInput.Answered)
            assertEquals(AvailabilityState.READY, state(Duration.ZERO))
        }
    }

    @Nested
    inner class `an upstream at whose address another answers` {
        @Test
        fun `receives no requests for five seconds`() {
            take(AvailabilityInput.AddressConflict)
            assertEquals(AvailabilityState.ELSEWHERE, state(4.seconds))
            assertEquals(AvailabilityState.READY, state(6.seconds))
        }
    }

    @Nested
    inner class `the headers of an answer` {
        private fun pauseOf(vararg values: String, status: Int = 503) =
            UpstreamNotice.of(status, null, values.toList()).retryAfter

        /** Guards against misreading the Retry-After header. */
        @Test
        fun `give the pause in seconds, the longest of several`() {
            assertEquals(1.5.seconds, pauseOf("1.5"))
            assertEquals(3.seconds, pauseOf("1", "3"))
            assertEquals(3.seconds, pauseOf("3, 2"))
            assertEquals(3.seconds, pauseOf("soon", "-1", "3"))
            assertEquals(500.milliseconds, pauseOf(" .5 "))
            assertEquals(Duration.INFINITE, pauseOf("1e400"))
            assertEquals(Duration.INFINITE, pauseOf("Infinity"))
        }

        @Test
        fun `give no pause if Retry-After is absent, not positive, or not on a 503`() {
            assertNull(pauseOf())
            assertNull(pauseOf("-1"))
            assertNull(pauseOf("-0.5, -2"))
            assertNull(pauseOf("-1e400"))
            assertNull(pauseOf("0"))
            assertNull(pauseOf("2", status = 200))
        }

        @Test
        fun `give a pause of one second if Retry-After is not a number`() {
            assertEquals(1.seconds, pauseOf("soon"))
            assertEquals(1.seconds, pauseOf(""))
            assertEquals(1.seconds, pauseOf("NaN"))
            assertEquals(1.seconds, pauseOf("5d"))
            assertEquals(1.seconds, pauseOf("0x1p6"))
            assertEquals(1.seconds, pauseOf("Fri, 04 Dec 2026 12:00:00 GMT"))
        }

        @Test
        fun `mark the upstream as leaving only with the value 1`() {
            assertEquals(true, UpstreamNotice.of(200, " 1", emptyList()).draining)
            assertEquals(false, UpstreamNotice.of(200, "0", emptyList()).draining)
            assertEquals(false, UpstreamNotice.of(200, null, emptyList()).draining)
        }
    }
}
