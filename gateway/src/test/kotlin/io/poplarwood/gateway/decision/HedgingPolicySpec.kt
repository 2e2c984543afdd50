package io.poplarwood.gateway.decision

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.SplitMix
import io.poplarwood.gateway.support.job
import io.poplarwood.gateway.support.upstream
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HedgingPolicySpec {
    private val now = 10.seconds
    private val first = UpstreamRow(upstream("u1"), Duration.ZERO)
    private val second = UpstreamRow(upstream("u2"), Duration.ZERO).apply { recordSlowness(1.0, now) }
    private val decision = HedgingPolicy(Placement(Zone("z1"), SplitMix(1)))

    /**
     * Whether a request of 60 ms gets a second attempt [waitedMs] after the first one was sent; its target time is
     * [targetMs] after the first one.
     */
    private fun isWorthwhileAfter(waitedMs: Int, targetMs: Int = 180) = decision.shouldHedge(
        first,
        waitedMs.milliseconds,
        job(60),
        130.milliseconds,
        (targetMs - waitedMs).milliseconds,
        second,
        now,
    )

    /** Guards against second attempts for requests that merely take long, which use up the retry budget. */
    @Test
    fun `a run that is not unusually long gets no second attempt`() = assertFalse(isWorthwhileAfter(70))

    /** Guards against a second attempt that starts too late to meet the target time. */
    @Test
    fun `an unusually long run gets a second attempt while that can still meet the target time`() {
        assertTrue(isWorthwhileAfter(100))
        assertFalse(isWorthwhileAfter(150))
    }

    @Test
    fun `a run at an upstream that was slow when it began gets an early second attempt`() {
        first.recordSlowness(4.0, now - 50.milliseconds)
        assertTrue(isWorthwhileAfter(40))
    }

    /** Guards against second attempts for runs that are fast although their upstream became slow after they began. */
    @Test
    fun `a run at an upstream that became slow later gets no second attempt for that`() {
        first.recordSlowness(1.0, now - 45.milliseconds)
        first.recordSlowness(4.0, now - 5.milliseconds)
        assertFalse(isWorthwhileAfter(40))
    }

    /** Guards against spending the shared retry budget on requests that are slow but in time. */
    @Test
    fun `a run at a slow upstream that still meets its target time gets no second attempt`() {
        first.recordSlowness(4.0, now - 40.milliseconds)
        assertFalse(isWorthwhileAfter(40, targetMs = 600))
    }

    /** Guards against waiting until the deadline for a lost answer. */
    @Test
    fun `a run whose answer must be lost gets a second attempt even after its target time`() = assertTrue(
        isWorthwhileAfter(300),
    )

    /**
     * Guards against waiting for a lost answer of a slow upstream, and against a second attempt for a run that is
     * merely slow.
     */
    @Test
    fun `a run at a slow upstream counts as lost later`() {
        first.recordSlowness(4.0, now - 300.milliseconds)
        assertFalse(isWorthwhileAfter(300))
        first.recordSlowness(4.0, now - 1_100.milliseconds)
        assertTrue(isWorthwhileAfter(1_100))
    }
}
