package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.decision.routing.AttemptResult
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

internal class RetrySpec {
    @Nested
    inner class `a call that every upstream answers busy` {
        /** Guards against a call that tries every upstream of a full service. */
        @Test
        fun `ends after six attempts as not run`() {
            val h = Harness(FakeRouter(10, 1))
            repeat(200) { h.finish(h.lastDispatch(h.offer(STANDARD))) }
            val call = h.offer(STANDARD, idempotent = false)
            var ended = 0
            repeat(30) {
                val last = h.lastDispatch(call)
                if (last.attempt > ended) h.finish(last, AttemptResult.BUSY)
                ended = last.attempt
                h.tick()
            }
            assertEquals(6, h.lastDispatch(call).attempt)
            assertEquals(listOf(RefusalReason.UPSTREAM_BUSY), h.reasons(call))
        }
    }

    @Nested
    inner class `a service that sheds most attempts` {
        /** Guards against retries that keep a service overloaded. */
        @Test
        fun `gets no further attempts`() {
            val h = Harness(FakeRouter(10, 1), settings = DispatcherSettings(urgentReserve = 0.0, maxAttempts = 2))
            repeat(50) { n ->
                val call = h.offer(STANDARD)
                h.finish(h.lastDispatch(call), AttemptResult.BUSY)
                if (n == 49) assertEquals(1, h.lastDispatch(call).attempt)
                if (h.lastDispatch(call).attempt == 2) h.finish(h.lastDispatch(call), AttemptResult.BUSY)
            }
        }
    }

    @Nested
    inner class `a request that loses upstreams` {
        /** Guards against crashes that spread with each retry of the request that causes them. */
        @Test
        fun `runs again only after reports of other losses must have arrived, and is refused in the end`() {
            val h = Harness(FakeRouter(10, 1))
            val first = h.offer(STANDARD, fingerprint = 7)
            h.finish(h.lastDispatch(first), AttemptResult.CONNECTION_LOST)
            h.tick(1.seconds)
            assertEquals(1, h.lastDispatch(first).attempt)
            h.tick(2.seconds)
            assertEquals(2, h.lastDispatch(first).attempt)
            h.finish(h.lastDispatch(first), AttemptResult.CONNECTION_LOST)
            h.tick(3.seconds)
            assertEquals(3, h.lastDispatch(first).attempt)
            assertTrue(h.router.requests.last().alone)
            h.finish(h.lastDispatch(first), AttemptResult.CONNECTION_LOST)
            assertEquals(listOf(RefusalReason.ATTEMPTS_SPENT), h.reasons(first))
            h.tick(3.seconds)
            assertEquals(listOf(RefusalReason.CRASH_SUSPECT), h.reasons(h.offer(STANDARD, fingerprint = 7)))
            assertEquals(3, h.commands.filterIsInstance<Command.ReportCrash>().size)
        }
    }

    @Nested
    inner class `the explain log` {
        /** Guards against a log whose size grows with the number of requests. */
        @Test
        fun `drops the oldest record`() {
            val log = ExplainLog(capacity = 2)
            val h = Harness(FakeRouter(1, 1))
            repeat(3) { h.finish(h.lastDispatch(h.offer(URGENT))) }
            val records: List<ExplainRecord> = (0..2).mapNotNull { h.explain.find(RequestId("r$it")) }
            for (r in records) log.put(r)
            assertNull(log.find(RequestId("r0")))
            assertEquals("answered", log.find(RequestId("r2"))?.attempts?.single()?.result)
        }
    }
}
