package io.poplarwood.gateway.decision

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
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

    private fun choose() = placement.free(rows, job(), emptySet(), now)

    @Nested
    inner class `momentary slowness` {
        /** Guards against work that goes to an upstream just known to be slow. */
        @Test
        fun `keeps work away while it is fresh`() {
            rows.drop(1).forEach { it.noteSlowness(4.0, now - 20.milliseconds) }
            rows[0].noteSlowness(1.0, now - 20.milliseconds)
            repeat(50) { assertEquals("u1", choose()?.id) }
        }

        /** Guards against an upstream that is shunned for long because of one figure. */
        @Test
        fun `is forgotten when it is old`() {
            rows.forEach { it.noteSlowness(if (it.id == "u1") 1.0 else 4.0, now - 400.milliseconds) }
            assertEquals(4, (1..200).mapNotNull { choose()?.id }.toSet().size)
        }
    }

    @Nested
    inner class `among equals` {
        /** Guards against entries with the same knowledge that all choose the same upstream. */
        @Test
        fun `the choice is spread`() {
            val counts = (1..400).mapNotNull { choose()?.id }.groupingBy { it }.eachCount()
            assertTrue(counts.values.all { it in 60..140 }, "$counts")
        }

        private val far = UpstreamRow(upstream("far", slots = 6, zone = "z2"), Duration.ZERO)
        private val near = UpstreamRow(upstream("near", slots = 6), Duration.ZERO)

        private fun chosen() =
            (1..50).mapNotNull { placement.free(listOf(far, near), job(220), emptySet(), now)?.id }.toSet()

        /** Guards against bytes and time spent between zones though the own one has upstreams as good. */
        @Test
        fun `one of the own zone is preferred`() = assertEquals(setOf("near"), chosen())

        /** Guards against a zone whose upstreams are crowded or slow while others are free. */
        @Test
        fun `one elsewhere is taken when those of the own zone are worse`() {
            near.ownInFlight = 5
            assertEquals(setOf("far"), chosen())
            near.ownInFlight = 0
            near.noteSlowness(4.0, now)
            far.noteSlowness(1.0, now)
            assertEquals(setOf("far"), chosen())
        }
    }

    @Nested
    inner class `an upstream` {
        /** Guards against requests of other entries that are not counted. */
        @Test
        fun `that others fill has no room`() {
            rows.forEach { it.setOther(EntryId("e2"), 3) }
            assertNull(choose())
            rows[2].setOther(EntryId("e2"), 0)
            assertEquals("u3", choose()?.id)
        }

        /** Guards against new work for an upstream that leaves. */
        @Test
        fun `that drains gets nothing`() {
            rows.drop(1).forEach { it.update(upstream(it.id, draining = true), now) }
            repeat(20) { assertEquals("u1", choose()?.id) }
        }

        @Test
        fun `that rests gets one request when its rest is over`() {
            val suspicion = Suspicion()
            rows.drop(1).forEach { row -> repeat(2) { suspicion.lost(row, now) } }
            repeat(20) { assertEquals("u1", choose()?.id) }
            val later = now + 500.milliseconds
            val resting = listOf(rows[1])
            assertNotNull(placement.free(resting, job(), emptySet(), later))
            rows[1].ownInFlight = 1
            assertNull(placement.free(resting, job(), emptySet(), later))
        }
    }

    @Nested
    inner class `a crowded upstream` {
        /** Guards against a concurrency beyond which an upstream finishes less. */
        @Test
        fun `is held below the number at which it slows down`() {
            repeat(500) {
                placement.crowding.note(rows[0].record.service, 1, 3, 1.0)
                placement.crowding.note(rows[0].record.service, 2, 3, 1.02)
                placement.crowding.note(rows[0].record.service, 3, 3, 1.75)
            }
            assertEquals(2, placement.crowding.concurrencyLimit(rows[0].record.service, 3))
            rows.forEach { it.ownInFlight = 2 }
            assertNull(choose())
        }

        @Test
        fun `uses all slots where it does not slow down`() {
            repeat(500) { for (inFlight in 1..6) placement.crowding.note(rows[0].record.service, inFlight, 6, 1.0) }
            assertEquals(6, placement.crowding.concurrencyLimit(rows[0].record.service, 6))
        }
    }
}
