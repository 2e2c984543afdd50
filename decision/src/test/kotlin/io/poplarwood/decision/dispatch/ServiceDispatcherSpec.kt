package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.decision.routing.AttemptResult
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

internal class ServiceDispatcherSpec {
    @Nested
    inner class `a call with a free slot` {
        /** Guards against a call that gets two responses or none. */
        @Test
        fun `is dispatched and completed once`() {
            val h = Harness(FakeRouter(1, 1))
            val call = h.offer(URGENT)
            h.finish(h.lastDispatch(call))
            h.finish(h.lastDispatch(call))
            assertEquals(listOf(call), h.completed.map { it.call })
            assertEquals("completed", h.explain.find(requestOf(call))?.outcome)
        }
    }

    @Nested
    inner class `a freed slot` {
        /** Guards against background work that runs before urgent calls. */
        @Test
        fun `goes to the highest rank`() {
            val h = Harness(FakeRouter(1, 1))
            val first = h.offer(STANDARD)
            h.offer(STANDARD)
            val urgent = h.offer(URGENT)
            h.finish(h.lastDispatch(first))
            assertEquals(urgent, h.dispatched.last().call)
        }

        /** Guards against a call that must avoid its earlier upstream and blocks all calls behind it. */
        @Test
        fun `skips a call that cannot use it`() {
            val h = Harness(FakeRouter(2, 1))
            val first = h.offer(STANDARD)
            h.offer(STANDARD)
            val third = h.offer(STANDARD)
            h.finish(h.lastDispatch(first), AttemptResult.BUSY)
            assertEquals(third, h.dispatched.last().call)
        }
    }

    @Nested
    inner class `a call that cannot meet its deadline` {
        /** Guards against callers who wait for a refusal that was certain on arrival. */
        @Test
        fun `is refused on arrival when the queue is too long`() {
            val h = Harness(FakeRouter(1, 1))
            repeat(20) {
                val call = h.offer(URGENT)
                h.tick(100.milliseconds)
                h.finish(h.lastDispatch(call))
            }
            repeat(10) { h.offer(URGENT) }
            val late = h.offer(URGENT, deadline = 300.milliseconds)
            assertEquals(listOf(RefusalReason.WAIT_TOO_LONG), h.reasons(late))
            assertTrue(checkNotNull(h.refused.last().refusal.retryAfter) > 300.milliseconds)
        }

        /** Guards against a refusal that comes only at the deadline. */
        @Test
        fun `is refused while it waits, before the deadline`() {
            val h = Harness(FakeRouter(1, 1))
            repeat(200) {
                val call = h.offer(URGENT)
                h.tick(100.milliseconds)
                h.finish(h.lastDispatch(call))
            }
            h.offer(URGENT)
            val late = h.offer(STANDARD, deadline = 60.milliseconds)
            val urgent = h.offer(URGENT, deadline = 150.milliseconds)
            repeat(7) { h.tick() }
            assertEquals(listOf(RefusalReason.WAIT_TOO_LONG), h.reasons(urgent))
            assertEquals(listOf(RefusalReason.WAIT_TOO_LONG), h.reasons(late))
        }
    }

    @Nested
    inner class `a lost connection` {
        /** Guards against a non-idempotent request, such as a print order, that runs twice. */
        @Test
        fun `ends a non-idempotent call as unknown`() {
            val h = Harness(FakeRouter(2, 1))
            val call = h.offer(STANDARD, idempotent = false)
            h.finish(h.lastDispatch(call), AttemptResult.CONNECTION_LOST)
            assertEquals(listOf(RefusalReason.CONNECTION_LOST), h.reasons(call))
        }

        /** Guards against a `not-run` response to a call whose earlier attempt may have run. */
        @Test
        fun `keeps a later refusal from claiming that the call did not run`() {
            val h = Harness(FakeRouter(2, 1))
            val call = h.offer(STANDARD)
            h.finish(h.lastDispatch(call), AttemptResult.CONNECTION_LOST)
            repeat(3) { h.tick() }
            assertEquals(2, h.lastDispatch(call).attempt)
            h.finish(h.lastDispatch(call), AttemptResult.CONNECT_FAILED)
            assertEquals(listOf(RefusalReason.RETRY_BUDGET_SPENT), h.reasons(call))
        }
    }

    @Nested
    inner class `a service without upstreams` {
        /** Guards against calls that wait although no upstream can serve them. */
        @Test
        fun `refuses at once`() {
            val h = Harness(FakeRouter(0, 1))
            val call = h.offer(STANDARD)
            assertEquals(listOf(RefusalReason.NO_UPSTREAM), h.reasons(call))
        }
    }
}

private fun requestOf(call: CallId) = RequestId("r${call.value}")
