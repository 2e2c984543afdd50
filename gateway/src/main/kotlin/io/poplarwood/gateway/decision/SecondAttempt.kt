package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether an idempotent request that is still unanswered goes to a second upstream.
 *
 * Answers upstreams that turned slow or silent after they took a request. A second attempt pays only where it should
 * be answered well before the first and in time for the aim.
 */
internal class SecondAttempt(private val placement: Placement) {
    /**
     * @param first where the request is
     * @param waited time since it was sent there
     * @param job the request, [long] a time that few of its route exceed
     * @param left time until its aim
     * @param second where it would go
     */
    fun worthwhile(
        first: UpstreamRow,
        waited: Duration,
        job: Job,
        long: Duration,
        left: Duration,
        second: UpstreamRow,
        now: Duration,
    ): Boolean {
        val there = placement.expected(second, job, now)
        val knownSlow = now - first.slownessAt < FRESH && first.slowness >= SLOW
        if (waited < long && !(knownSlow && waited > job.work * EARLY)) return false
        val slow = placement.slowness(first, now)
        val here = (job.work * slow - waited).coerceAtLeast(job.work * (slow - 1) * REMAINING)
        return there < left && there < here || waited > long * 2
    }

    /** Time after which the first look at a request of [job] is worthwhile. */
    fun firstLook(job: Job): Duration = job.work * EARLY

    private companion object {
        /** Share of a slow run that is still to come when it has outlasted a usual one. */
        const val REMAINING = 0.5

        /** Age below which a figure of slowness is taken for what holds now. */
        val FRESH = 120.milliseconds
        const val SLOW = 2.5

        /** Share of the usual time after which a run at an upstream that has just told of its slowness is given up. */
        const val EARLY = 0.5
    }
}
