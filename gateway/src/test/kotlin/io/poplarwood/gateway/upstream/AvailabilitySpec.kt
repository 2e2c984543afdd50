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
        availability.take(input, at, jitterFraction)

    private fun state(after: Duration) = availability.state(start + after)

    @Nested
    inner class `an upstream that says it leaves` {
        /** Guards against a mark that a registration, an answer or time undoes. */
        @Test
        fun `gets nothing again in this life`() {
            take(AvailabilityInput.SaysItLeaves)
            take(AvailabilityInput.Registered(draining = false, Duration.ZERO))
            take(AvailabilityInput.Answered)
            assertEquals(AvailabilityState.LEAVING, state(10.minutes))
            assertEquals(0, availability.inFlightLimit(3, start + 10.minutes))
            assertNull(availability.from(start + 10.minutes))
        }

        /** Guards against two lives at one address, or under one name, that are taken for one. */
        @Test
        fun `is told apart from its next life, and from others at its address`() {
            val table = UpstreamTable()
            val now = start
            table.put(upstream("u1", born = 1), now)
            table.markLeaving("u1", 1, now)
            table.put(upstream("u2", born = 1), now)
            assertEquals(AvailabilityState.READY, table["u2"]?.availability?.state(now))
            table.remove("u1")
            table.put(upstream("u1", born = 1), now)
            assertEquals(AvailabilityState.LEAVING, table["u1"]?.availability?.state(now))
            table.put(upstream("u1", born = 2), now)
            assertEquals(AvailabilityState.READY, table["u1"]?.availability?.state(now))
        }
    }

    @Nested
    inner class `an upstream that wants nothing for a while` {
        @Test
        fun `gets nothing until then, then a little, then all`() {
            take(AvailabilityInput.WantsNothingFor(2.seconds))
            assertEquals(0, availability.inFlightLimit(6, start + 1_990.milliseconds))
            assertEquals(start + 2.seconds, availability.from(start))
            assertEquals(1, availability.inFlightLimit(6, start + 2.seconds))
            assertEquals(4, availability.inFlightLimit(6, start + 2_500.milliseconds))
            assertEquals(AvailabilityState.READY, state(3.seconds))
        }

        /** Guards against a shorter time, or an answer to an earlier request, that cuts the time short. */
        @Test
        fun `keeps to the longest time that it named`() {
            take(AvailabilityInput.WantsNothingFor(5.seconds))
            take(AvailabilityInput.WantsNothingFor(1.seconds))
            take(AvailabilityInput.Answered)
            assertEquals(AvailabilityState.DEFERRED, state(4.seconds))
        }

        /** Guards against upstreams that all come back at one moment. */
        @Test
        fun `comes back apart from others that named the same time, and never before it`() {
            take(AvailabilityInput.WantsNothingFor(2.seconds), jitterFraction = 0.9)
            assertEquals(AvailabilityState.DEFERRED, state(2_400.milliseconds))
            assertEquals(AvailabilityState.RETURNING, state(2_500.milliseconds))
        }

        @Test
        fun `is tried after an hour though it named no end`() {
            take(AvailabilityInput.WantsNothingFor(Duration.INFINITE))
            assertEquals(AvailabilityState.DEFERRED, state(59.minutes))
            assertEquals(AvailabilityState.READY, state(1.days))
        }
    }

    @Nested
    inner class `an upstream that brings no answers` {
        @Test
        fun `rests after the second, for longer each time, and an answer ends that`() {
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
        fun `is left alone for five seconds`() {
            take(AvailabilityInput.AnotherAtItsAddress)
            assertEquals(AvailabilityState.ELSEWHERE, state(4.seconds))
            assertEquals(AvailabilityState.READY, state(6.seconds))
        }
    }

    @Nested
    inner class `what an upstream says beside an answer` {
        private fun notBefore(vararg values: String, status: Int = 503) =
            UpstreamNotice.of(status, null, values.toList()).notBefore

        /** Guards against a header that is taken for another time than it means. */
        @Test
        fun `names a time in seconds, of several the longest`() {
            assertEquals(1.5.seconds, notBefore("1.5"))
            assertEquals(3.seconds, notBefore("1", "3"))
            assertEquals(3.seconds, notBefore("3, 2"))
            assertEquals(Duration.INFINITE, notBefore("1e400"))
        }

        @Test
        fun `names no time where it is absent, past, or not on a 503`() {
            assertNull(notBefore())
            assertNull(notBefore("-1"))
            assertNull(notBefore("0"))
            assertNull(notBefore("2", status = 200))
        }

        @Test
        fun `counts as a second where it cannot be read`() {
            assertEquals(1.seconds, notBefore("soon"))
            assertEquals(1.seconds, notBefore("NaN"))
            assertEquals(1.seconds, notBefore("Fri, 04 Dec 2026 12:00:00 GMT"))
        }

        @Test
        fun `marks it as leaving by the value 1 alone`() {
            assertEquals(true, UpstreamNotice.of(200, " 1", emptyList()).leaving)
            assertEquals(false, UpstreamNotice.of(200, "0", emptyList()).leaving)
            assertEquals(false, UpstreamNotice.of(200, null, emptyList()).leaving)
        }
    }
}
