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

class SecondAttemptSpec {
    private val now = 10.seconds
    private val first = UpstreamRow(upstream("u1"), Duration.ZERO)
    private val second = UpstreamRow(upstream("u2"), Duration.ZERO).apply { noteSlowness(1.0, now) }
    private val decision = SecondAttempt(Placement(Zone("z1"), SplitMix(1)))

    /** 60 ms of work, an aim 180 ms after the start. */
    private fun after(waitedMs: Int, aimMs: Int = 180) = decision.worthwhile(
        first,
        waitedMs.milliseconds,
        job(60),
        130.milliseconds,
        (aimMs - waitedMs).milliseconds,
        second,
        now,
    )

    /** Guards against repeats of what is merely long, which use up the budget. */
    @Test
    fun `a run that is not unusually long is not repeated`() = assertFalse(after(70))

    /** Guards against a second attempt that starts when it can no longer meet the aim. */
    @Test
    fun `a run that is unusually long is repeated while that can still meet the aim`() {
        assertTrue(after(100))
        assertFalse(after(150))
    }

    @Test
    fun `a run at an upstream that was slow when it began is repeated early`() {
        first.noteSlowness(4.0, now - 50.milliseconds)
        assertTrue(after(40))
    }

    /** Guards against repeats of runs that are quick although their upstream has turned slow since they began. */
    @Test
    fun `a run at an upstream that turned slow since is not repeated for that`() {
        first.noteSlowness(1.0, now - 45.milliseconds)
        first.noteSlowness(4.0, now - 5.milliseconds)
        assertFalse(after(40))
    }

    /** Guards against repeats, out of the budget of all, of requests that are slow but in time. */
    @Test
    fun `a run at a slow upstream that meets its aim even so is not repeated`() {
        first.noteSlowness(4.0, now - 40.milliseconds)
        assertFalse(after(40, aimMs = 600))
    }

    /** Guards against a lost answer that is awaited until the deadline. */
    @Test
    fun `a run whose answer must be lost is repeated after its aim too`() = assertTrue(after(300))

    /** Guards against the same where the upstream was slow, and against a repeat of a run that is merely slow. */
    @Test
    fun `a run at a slow upstream is taken for lost later`() {
        first.noteSlowness(4.0, now - 300.milliseconds)
        assertFalse(after(300))
        first.noteSlowness(4.0, now - 1_100.milliseconds)
        assertTrue(after(1_100))
    }
}
