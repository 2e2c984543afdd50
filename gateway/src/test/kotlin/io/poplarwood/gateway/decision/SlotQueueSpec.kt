package io.poplarwood.gateway.decision

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamTable
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SlotQueueSpec {
    private val upstreams = UpstreamTable()
    private val queue = SlotQueue(Placement(Zone("z1"), SplitMix(1)), upstreams)
    private val decisions = LinkedHashMap<String, SlotDecision>()
    private val start = 10.seconds

    private fun request(
        name: String,
        at: Duration = start,
        priority: Int = 0,
        targetMs: Int = 200,
        deadlineMs: Int = 800,
    ) = SlotRequest(
        SERVICE,
        priority,
        at,
        job(),
        at + targetMs.milliseconds,
        at + deadlineMs.milliseconds,
        emptySet(),
    ) {
        decisions[name] = it
    }

    private fun addOneSlot() {
        upstreams.put(upstream("u1", slots = 1), Duration.ZERO)
        upstreams["u1"]?.recordSlowness(1.0, start)
    }

    private fun releaseSlot(now: Duration) {
        val row = checkNotNull(upstreams["u1"])
        row.ownInFlight--
        row.recordSlowness(1.0, now)
        queue.dispatch(now)
    }

    @Nested
    inner class `a service without upstreams` {
        /** Guards against queueing a request that cannot succeed. */
        @Test
        fun `refuses at once`() {
            queue.offer(request("a"), start)
            assertIs<SlotDecision.NoUpstream>(decisions["a"])
        }
    }

    @Nested
    inner class `a refused request` {
        /** Guards against callers that return before there is room, because most upstreams accept nothing. */
        @Test
        fun `is told when the upstreams that accept requests have served theirs`() {
            addOneSlot()
            upstreams.put(upstream("u2", slots = 9), Duration.ZERO)
            upstreams["u2"]?.availability?.apply(AvailabilityInput.PauseRequested(60.seconds), start)
            queue.offer(request("running"), start)
            queue.offer(request("refused", deadlineMs = 50), start)
            val refusal = assertIs<SlotDecision.Overloaded>(decisions["refused"])
            assertTrue(refusal.retryAfter >= job().serviceTime, "${refusal.retryAfter}")
        }
    }

    @Nested
    inner class `a slot that becomes free` {
        /** Guards against urgent requests that wait behind less urgent ones. */
        @Test
        fun `goes to the most urgent request`() {
            addOneSlot()
            queue.offer(request("running"), start)
            queue.offer(request("low priority", priority = 2), start)
            queue.offer(request("urgent", priority = 0), start)
            releaseSlot(start + 10.milliseconds)
            assertIs<SlotDecision.Granted>(decisions["urgent"])
            assertTrue("low priority" !in decisions)
        }

        /** Guards against an overload that makes every request late. */
        @Test
        fun `goes to a request that can meet its target time before one that cannot`() {
            addOneSlot()
            queue.offer(request("running"), start)
            queue.offer(request("old"), start)
            val later = start + 150.milliseconds
            queue.offer(request("fresh", later), later)
            releaseSlot(later)
            assertIs<SlotDecision.Granted>(decisions["fresh"])
            assertTrue(decisions["old"] !is SlotDecision.Granted)
        }
    }

    @Nested
    inner class `a queued request` {
        /** Guards against delaying the refusal of a request that cannot be served. */
        @Test
        fun `is refused with a retry delay when no slot became free before its target time`() {
            addOneSlot()
            queue.offer(request("running"), start)
            queue.offer(request("a"), start)
            queue.dispatch(start + 90.milliseconds)
            assertTrue("a" !in decisions)
            queue.dispatch(start + 210.milliseconds)
            val full = assertIs<SlotDecision.Overloaded>(decisions["a"])
            assertTrue(full.retryAfter > Duration.ZERO)
        }

        @Test
        fun `receives no slot after it was cancelled`() {
            addOneSlot()
            queue.offer(request("running"), start)
            val cancelled = request("cancelled")
            queue.offer(cancelled, start)
            cancelled.cancelled = true
            releaseSlot(start + 5.milliseconds)
            assertEquals(0, upstreams["u1"]?.ownInFlight)
        }
    }

    @Nested
    inner class `load beyond capacity` {
        /** Guards against queueing that no caller benefits from: the share answered in time is what callers receive. */
        @Test
        fun `leaves as many requests answered in time as the slots can serve`() {
            for (i in 1..10) upstreams.put(upstream("u$i", slots = 1), Duration.ZERO)
            val random = SplitMix(7)
            val running = ArrayList<Pair<Duration, String>>()
            var granted = 0
            var sent = 0
            for (ms in 0 until 4_000) {
                val now = start + ms.milliseconds
                upstreams.all.forEach { it.recordSlowness(1.0, now) }
                val finished = running.filter { it.first <= now }
                running.removeAll(finished)
                finished.forEach { (_, id) -> checkNotNull(upstreams[id]).ownInFlight-- }
                queue.dispatch(now)
                // Ten slots of 60 ms carry 167 requests a second; 330 arrive.
                if (random.nextDouble() < 0.33) {
                    sent++
                    queue.offer(
                        SlotRequest(
                            SERVICE,
                            0,
                            now,
                            job(),
                            now + 200.milliseconds,
                            now + 800.milliseconds,
                            emptySet(),
                        ) {
                            if (it is SlotDecision.Granted) {
                                val grantedAt = start + ms.milliseconds
                                running += (grantedAt + 60.milliseconds) to it.row.id
                                granted++
                            }
                        },
                        now,
                    )
                }
            }
            val capacity = 10 * 4_000 / 60
            assertTrue(sent > capacity * 1.8, "the load must exceed the capacity: sent $sent, capacity $capacity")
            assertTrue(granted >= capacity * 0.9, "granted $granted of the $capacity requests that the slots can serve")
        }
    }
}
