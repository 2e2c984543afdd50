package io.poplarwood.decision.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.work.Rank
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class EjectionSpec {
    private fun RouterCell.serve(length: Duration, faulty: Set<UpstreamId> = emptySet()) {
        val end = now + length
        while (now < end) {
            advance(10.milliseconds)
            repeat(8) {
                val granted = routers[0].reserveSlot() ?: return@repeat
                val result = if (granted.upstream in faulty) AttemptResult.SERVER_ERROR else AttemptResult.ANSWERED
                routers[0].endAttempt(granted, result)
            }
        }
    }

    private fun RouterCell.ejected() = ids.filter { state(0, it) == UpstreamState.SUSPECT }.toSet()

    @Nested
    inner class `upstreams that fail` {
        /** Guards against an ejection that removes more capacity than the fault did. */
        @Test
        fun `are ejected up to a fifth of the service`() = runTest {
            checkAll(PropTestConfig(seed = 21, iterations = 20), Arb.int(5..40), Arb.int(1..20)) { count, failing ->
                val cell = RouterCell(1, count)
                val faulty = cell.ids.take(minOf(failing, count / 2)).toSet()
                var maxEjected = 0
                repeat(40) {
                    cell.serve(100.milliseconds, faulty)
                    maxEjected = maxOf(maxEjected, cell.ejected().size)
                    assertTrue(faulty.containsAll(cell.ejected()), "a good upstream was ejected")
                }
                assertTrue(maxEjected in 1..count / 5, "$maxEjected of $count ejected")
            }
        }

        /** Guards against an entry that ejects a whole service because its own network is faulty. */
        @Test
        fun `are not ejected when more than half of the service fails`() {
            val cell = RouterCell(1, 20)
            val faulty = cell.ids.take(11).toSet()
            cell.serve(1.seconds)
            // Failures accumulate one upstream at a time, so a few may be ejected before half of them have failed.
            cell.serve(4.seconds, faulty)
            cell.serve(40.seconds, faulty)
            assertEquals(emptySet(), cell.ejected())
        }

        /** Guards against automation that works against an operator who has paused it. */
        @Test
        fun `are not ejected while automation is paused`() {
            val cell = RouterCell(1, 20)
            cell.routers[0].pauseAutomation(true)
            cell.serve(5.seconds, setOf(cell.ids[0]))
            assertEquals(emptySet(), cell.ejected())
        }
    }

    @Nested
    inner class `an ejected upstream that has recovered` {
        /**
         * Guards against full load on an upstream that has just returned, and against an upstream that never returns.
         */
        @Test
        fun `returns through a ramp`() {
            val cell = RouterCell(1, 10)
            val faulty = cell.ids[3]
            cell.serve(1.seconds)
            cell.serve(1.seconds, setOf(faulty))
            assertEquals(setOf(faulty), cell.ejected())
            cell.serve(2.seconds)
            assertEquals(UpstreamState.WARMING, cell.state(0, faulty))
            cell.serve(8.seconds)
            assertEquals(UpstreamState.LIVE, cell.state(0, faulty))
        }
    }

    @Nested
    inner class `an upstream that is ten times slower than its peers` {
        /** Guards against a slow upstream that keeps requests although it responds to each of them. */
        @Test
        fun `is ejected`() {
            val cell = RouterCell(1, 10)
            cell.advance(2.seconds)
            // All slots are taken each time, because a router that has a choice avoids the slow upstream after one
            // response.
            repeat(100) {
                val taken = generateSequence { cell.routers[0].reserveSlot(Rank.STANDARD) }.toList()
                for (granted in taken) {
                    val latency = if (granted.upstream == cell.ids[2]) 100.milliseconds else 10.milliseconds
                    cell.routers[0].endAttempt(granted, AttemptResult.ANSWERED, latency)
                }
                cell.advance(10.milliseconds)
            }
            assertEquals(setOf(cell.ids[2]), cell.ejected())
        }
    }

    @Nested
    inner class `an upstream that reports that it is draining` {
        /** Guards against new work for a draining upstream before the platform lists it as draining. */
        @Test
        fun `gets no new work from this entry`() {
            val cell = RouterCell(1, 3)
            cell.advance(2.seconds)
            val granted = checkNotNull(cell.routers[0].reserveSlot())
            cell.routers[0].endAttempt(granted, AttemptResult.DRAINING)
            cell.routers[0].updateUpstreams(cell.views(cell.ids))
            repeat(100) {
                val next = cell.routers[0].reserveSlot()
                assertFalse(next?.upstream == granted.upstream, "work went to a leaving upstream")
                if (next != null) cell.routers[0].endAttempt(next, AttemptResult.ANSWERED)
                cell.advance(10.milliseconds)
            }
        }
    }

    @Nested
    inner class `a new upstream` {
        /** Guards against a cold upstream that gets its full share at once. */
        @Test
        fun `gets little work at first`() {
            val cell = RouterCell(1, 10)
            cell.serve(2.seconds)
            val fresh = UpstreamId("10.0.0.99:80", "u")
            cell.routers[0].updateUpstreams(cell.views(cell.ids + fresh))
            var first = 0
            repeat(500) {
                val granted = cell.routers[0].reserveSlot()
                if (granted?.upstream == fresh) first++
                granted?.let { cell.routers[0].endAttempt(it, AttemptResult.ANSWERED) }
            }
            assertTrue(first < 25, "$first of 500 went to a new upstream, a full share is 45")
            assertEquals(UpstreamState.WARMING, cell.state(0, fresh))
        }
    }
}
