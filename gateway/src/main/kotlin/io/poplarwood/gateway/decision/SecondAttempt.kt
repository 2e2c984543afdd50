package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether an idempotent request that is still unanswered goes to a second upstream.
 *
 * Answers upstreams that were slow when they took a request, or are silent. Three cases pay: the upstream told that it
 * was slow when the run began, so that the request would miss its aim there; the request has taken unusually long and a
 * second attempt would soon be too late for the aim; or it has taken so long that its answer is most likely lost. That
 * an upstream turned slow later says little: the time of a run follows from how slow its upstream was at its start.
 */
internal class SecondAttempt(private val placement: Placement) {
    /**
     * @param first where the request is, since [waited] ago
     * @param job the request, [longRun] a time that few of its route exceed
     * @param untilTarget time until its aim
     * @param second where it would go
     */
    fun worthwhile(
        first: UpstreamRow,
        waited: Duration,
        job: Job,
        longRun: Duration,
        untilTarget: Duration,
        second: UpstreamRow,
        now: Duration,
    ): Boolean {
        val secondLatency = placement.expectedLatency(second, job, now)
        val slownessAtStart = (first.slownessNear(now - waited) ?: 1.0).coerceAtLeast(1.0)
        val missesTarget = slownessAtStart >= SLOW_THRESHOLD && untilTarget < job.work * slownessAtStart - waited
        val lastChance = untilTarget - secondLatency <= LAST_CHANCE_MARGIN && waited >= job.work * UNUSUALLY_LONG_RATIO
        return (secondLatency < untilTarget && (missesTarget || lastChance)) ||
            waited > longRun * slownessAtStart * LOST_RATIO
    }

    /** Time after which the first look at a request of [job] is worthwhile. */
    fun firstLook(job: Job): Duration = job.work * FIRST_CHECK_SHARE

    private companion object {
        /** An upstream that is this many times slower than usual is taken to be slowed by its neighbours. */
        const val SLOW_THRESHOLD = 2.5

        /** Share of the usual time after which a run at an upstream that was slow at its start may be given up. */
        const val FIRST_CHECK_SHARE = 0.5

        /** A run that lasts this many times the usual is more likely at a slow upstream than long in itself. */
        const val UNUSUALLY_LONG_RATIO = 1.4

        /** Margin before a second attempt would miss the aim. */
        val LAST_CHANCE_MARGIN = 25.milliseconds

        /** Multiple of a long run after which the answer counts as lost. */
        const val LOST_RATIO = 2
    }
}
