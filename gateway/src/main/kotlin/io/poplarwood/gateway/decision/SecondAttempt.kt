package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether an idempotent request that is still unanswered goes to a second upstream.
 *
 * Answers upstreams that turned slow or silent after they took a request. Three cases pay: the upstream has just told
 * that it is slow; the request has taken unusually long and a second attempt would soon be too late for the aim; or it
 * has taken so long that its answer is most likely lost.
 */
internal class SecondAttempt(private val placement: Placement) {
    /**
     * @param first where the request is, since [waited] ago
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
        if (toldSlow(first, waited, job, now)) return there < left && there < remaining(first, waited, job, now)
        val lastChance = there < left && left - there <= LAST_CHANCE && waited >= job.work * UNUSUAL
        return lastChance || waited > long * LOST
    }

    /** Time after which the first look at a request of [job] is worthwhile. */
    fun firstLook(job: Job): Duration = job.work * EARLY

    private fun toldSlow(first: UpstreamRow, waited: Duration, job: Job, now: Duration) =
        now - first.slownessAt < FRESH && first.slowness >= SLOW && waited > job.work * EARLY

    private fun remaining(first: UpstreamRow, waited: Duration, job: Job, now: Duration): Duration {
        val slow = placement.slowness(first, now)
        return (job.work * slow - waited).coerceAtLeast(job.work * (slow - 1) * REMAINING)
    }

    private companion object {
        /** Share of a slow run that is still to come when it has outlasted a usual one. */
        const val REMAINING = 0.5

        /** Age below which a figure of slowness is taken for what holds now. */
        val FRESH = 120.milliseconds
        const val SLOW = 2.5

        /** Share of the usual time after which a run at an upstream that has just told of its slowness is given up. */
        const val EARLY = 0.5

        /** A run that lasts this many times the usual is more likely at a slow upstream than long in itself. */
        const val UNUSUAL = 1.4

        /** Margin before a second attempt would miss the aim. */
        val LAST_CHANCE = 25.milliseconds

        /** Multiple of a long run after which the answer counts as lost. */
        const val LOST = 2
    }
}
