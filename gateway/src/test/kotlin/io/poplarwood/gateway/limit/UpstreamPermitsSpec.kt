package io.poplarwood.gateway.limit

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.support.SERVICE
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.IncarnationId
import io.poplarwood.gateway.upstream.LimitObservation
import io.poplarwood.gateway.upstream.UpstreamTable
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests that wait for a slot at upstreams with rate limits. */
class UpstreamPermitsSpec {
    private val now = 10.seconds
    private val upstreams = UpstreamTable()
    private val pool = PermitPool<IncarnationId>({ 500.milliseconds })
    private val asked = ArrayList<String>()
    private val permits = UpstreamPermits(pool, { row, _, _ -> asked += row.id }) { 6 }
    private val queue = SlotQueue(Placement(Zone("z1"), SplitMix(1)), upstreams, permits)
    private val decisions = ArrayList<SlotDecision>()

    private fun add(id: String, limit: Double? = null) {
        upstreams.put(upstream(id), now)
        limit?.let { upstreams[id]?.limit?.apply(LimitObservation(it, now, now)) }
    }

    private fun permit(id: String, priority: Int = 0) =
        pool.add(checkNotNull(upstreams[id]).incarnation, priority, 1, now)

    private fun offer(priority: Int = 0) = queue.offer(
        SlotRequest(SERVICE, priority, now, job(), now + 200.milliseconds, now + 800.milliseconds, emptySet()) {
            decisions += it
        },
        now,
    )

    private fun grantedTo() = decisions.map { (it as? SlotDecision.Granted)?.row?.id }

    @Nested
    inner class `a request with another upstream` {
        @Test
        fun `goes there without a permit, and a permit is asked for`() {
            add("limited", 2.0)
            add("free")
            offer()
            assertEquals(listOf<String?>("free"), grantedTo())
            assertEquals(listOf("limited"), asked)
        }

        /** Guards against a limit that stays unused because another upstream is a little faster. */
        @Test
        fun `goes to the limited upstream with a permit`() {
            add("limited", 2.0)
            add("free")
            upstreams["free"]?.recordSlowness(1.0, now)
            permit("limited")
            offer()
            offer()
            assertEquals(listOf<String?>("limited", "free"), grantedTo())
        }
    }

    @Nested
    inner class `a request without another upstream` {
        /** Guards against requests that wait for a permit which will not come in time. */
        @Test
        fun `is refused at once with a time to come back`() {
            add("limited", 2.0)
            permits.askForOne(upstreams.all.toList(), 0, now - 100.milliseconds)
            offer()
            val refusal = assertIs<SlotDecision.RateLimited>(decisions.single())
            assertEquals(3.seconds, refusal.retryAfter)
        }

        @Test
        fun `waits while the issuer may still answer`() {
            add("limited", 2.0)
            offer()
            assertEquals(emptyList(), decisions)
            permit("limited")
            queue.dispatch(now + 5.milliseconds)
            assertEquals(listOf<String?>("limited"), grantedTo())
        }

        @Test
        fun `is refused when the issuer does not answer`() {
            add("limited", 2.0)
            offer()
            queue.dispatch(now + 40.milliseconds)
            assertIs<SlotDecision.RateLimited>(decisions.single())
        }

        @Test
        fun `waits for a permit that is expected in time`() {
            add("limited", 200.0)
            permits.askForOne(upstreams.all.toList(), 0, now - 100.milliseconds)
            offer()
            assertEquals(emptyList(), decisions)
        }

        /** Guards against background requests that take the permits of urgent ones. */
        @Test
        fun `does not use the permit of a more urgent one`() {
            add("limited", 2.0)
            permit("limited", priority = 0)
            offer(priority = 2)
            queue.dispatch(now + 40.milliseconds)
            assertIs<SlotDecision.RateLimited>(decisions.single())
        }
    }

    @Nested
    inner class `several limited upstreams` {
        /** Guards against more permits than requests, which lapse unused. */
        @Test
        fun `are asked one at a time`() {
            add("u1", 2.0)
            add("u2", 2.0)
            add("u3", 2.0)
            offer()
            assertEquals(1, asked.size)
            offer()
            offer()
            assertEquals(setOf("u1", "u2", "u3"), asked.toSet())
            offer()
            assertEquals(3, asked.size)
        }
    }

    @Nested
    inner class `a limit` {
        /** Guards against a limit that is lost when a registration lapses during an outage of the store. */
        @Test
        fun `outlives a lapsed registration, but not its incarnation`() {
            add("u1", 2.0)
            upstreams.remove("u1")
            upstreams.put(upstream("u1"), now)
            assertEquals(2.0, upstreams["u1"]?.limit?.perSecond)
            upstreams.put(upstream("u1", born = 2), now)
            assertNull(upstreams["u1"]?.limit?.perSecond)
        }

        /** Guards against an upstream that is never asked again after it named a limit of zero. */
        @Test
        fun `of zero leaves one request in five seconds, so that its end is noticed`() {
            add("u1", 0.0)
            assertEquals(0.2, upstreams["u1"]?.limit?.rate)
            assertTrue(permits.isLimited(checkNotNull(upstreams["u1"])))
        }
    }
}
