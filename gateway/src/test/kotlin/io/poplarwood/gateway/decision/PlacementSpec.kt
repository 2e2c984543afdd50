package io.poplarwood.gateway.decision

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlacementSpec {
    private val placement = Placement(Zone("z1"), SplitMix(1))
    private val now = 10.seconds
    private val rows = (1..4).map { UpstreamRow(upstream("u$it"), Duration.ZERO) }

    private fun choose() = placement.selectUpstream(rows, job(), emptySet(), now)

    @Nested
    inner class `a reported slowness` {
        /** Guards against selecting an upstream that has just reported slowness. */
        @Test
        fun `keeps requests away while the report is recent`() {
            rows.drop(1).forEach { it.recordSlowness(4.0, now - 20.milliseconds) }
            rows[0].recordSlowness(1.0, now - 20.milliseconds)
            repeat(50) { assertEquals("u1", choose()?.id) }
        }

        /** Guards against avoiding an upstream for long because of a single slowness report. */
        @Test
        fun `is ignored when the report is old`() {
            rows.forEach { it.recordSlowness(if (it.id == "u1") 1.0 else 4.0, now - 400.milliseconds) }
            assertEquals(4, (1..200).mapNotNull { choose()?.id }.toSet().size)
        }
    }

    @Nested
    inner class `among equally good upstreams` {
        /** Guards against entries with the same observations that all select the same upstream. */
        @Test
        fun `the selection is random`() {
            val counts = (1..400).mapNotNull { choose()?.id }.groupingBy { it }.eachCount()
            assertTrue(counts.values.all { it in 60..140 }, "$counts")
        }

        private val far = UpstreamRow(upstream("far", slots = 6, zone = "z2"), Duration.ZERO)
        private val near = UpstreamRow(upstream("near", slots = 6), Duration.ZERO)

        private fun chosen() =
            (1..50).mapNotNull { placement.selectUpstream(listOf(far, near), job(220), emptySet(), now)?.id }.toSet()

        /** Guards against latency and traffic between zones while the own zone has equally good upstreams. */
        @Test
        fun `one in the own zone is preferred`() = assertEquals(setOf("near"), chosen())

        /** Guards against a zone whose upstreams are saturated or slow while those of other zones are free. */
        @Test
        fun `one in another zone is selected when those in the own zone are worse`() {
            near.ownInFlight = 5
            assertEquals(setOf("far"), chosen())
            near.ownInFlight = 0
            near.recordSlowness(4.0, now)
            far.recordSlowness(1.0, now)
            assertEquals(setOf("far"), chosen())
        }
    }

    @Nested
    inner class `an upstream` {
        /** Guards against ignoring the in-flight requests of other entries. */
        @Test
        fun `whose slots other entries use has no capacity`() {
            rows.forEach { it.setInFlightOf(EntryId("e2"), 3) }
            assertNull(choose())
            rows[2].setInFlightOf(EntryId("e2"), 0)
            assertEquals("u3", choose()?.id)
        }

        /** Guards against new requests for a draining upstream. */
        @Test
        fun `that is draining receives no requests`() {
            rows.drop(1).forEach { it.update(upstream(it.id, draining = true), now) }
            repeat(20) { assertEquals("u1", choose()?.id) }
        }

        /** Guards against second attempts and retries at an upstream that announced that it wants none. */
        @Test
        fun `that announced draining or asked for a pause receives no attempts`() {
            rows[1].availability.apply(AvailabilityInput.Draining, now)
            rows.drop(2).forEach { it.availability.apply(AvailabilityInput.PauseRequested(2.seconds), now) }
            repeat(20) { assertEquals("u1", choose()?.id) }
            assertNull(placement.selectUpstream(rows, job(), setOf("u1"), now))
        }

        @Test
        fun `that was ejected receives one request when the ejection ends`() {
            val suspicion = OutcomeRecorder()
            rows.drop(1).forEach { row -> repeat(2) { suspicion.recordLoss(row, now) } }
            repeat(20) { assertEquals("u1", choose()?.id) }
            val later = now + 500.milliseconds
            val ejected = listOf(rows[1])
            assertNotNull(placement.selectUpstream(ejected, job(), emptySet(), later))
            rows[1].ownInFlight = 1
            assertNull(placement.selectUpstream(ejected, job(), emptySet(), later))
        }
    }

    @Nested
    inner class `a saturated upstream` {
        /** Guards against a concurrency at which the throughput of an upstream drops. */
        @Test
        fun `is kept below the concurrency at which it slows down`() {
            repeat(500) {
                placement.concurrencyModel.record(rows[0].record.service, 1, 3, 1.0)
                placement.concurrencyModel.record(rows[0].record.service, 2, 3, 1.02)
                placement.concurrencyModel.record(rows[0].record.service, 3, 3, 1.75)
            }
            assertEquals(2, placement.concurrencyModel.concurrencyLimit(rows[0].record.service, 3))
            rows.forEach { it.ownInFlight = 2 }
            assertNull(choose())
        }

        @Test
        fun `uses all slots if it does not slow down`() {
            repeat(500) {
                for (inFlight in 1..6) placement.concurrencyModel.record(rows[0].record.service, inFlight, 6, 1.0)
            }
            assertEquals(6, placement.concurrencyModel.concurrencyLimit(rows[0].record.service, 6))
        }
    }
}
