package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether an idempotent request that is still unanswered is also sent to a second upstream.
 *
 * A second attempt helps in three cases: the first upstream reported that it was slow when the attempt began, so the
 * request would miss its target time there; the attempt takes unusually long and a second one would soon be too late
 * for the target time; or the attempt has taken so long that its answer is most likely lost. An upstream that became
 * slow after the attempt began says little: the duration of an attempt depends on the slowness of the upstream at its
 * start.
 */
internal class HedgingPolicy(private val placement: Placement) {
    /**
     * @param first upstream of the first attempt, which was sent [waited] ago
     * @param job cost of the request
     * @param longRun service time that few requests of its route exceed
     * @param untilTarget time left until the target time of the request
     * @param second upstream to which the second attempt would go
     */
    fun shouldHedge(
        first: UpstreamRow,
        waited: Duration,
        job: RequestEstimate,
        longRun: Duration,
        untilTarget: Duration,
        second: UpstreamRow,
        now: Duration,
    ): Boolean {
        val secondLatency = placement.expectedLatency(second, job, now)
        val slownessAtStart = (first.slownessNear(now - waited) ?: 1.0).coerceAtLeast(1.0)
        val missesTarget = slownessAtStart >= SLOW_THRESHOLD && untilTarget < job.serviceTime * slownessAtStart - waited
        val lastChance =
            untilTarget - secondLatency <= LAST_CHANCE_MARGIN && waited >= job.serviceTime * UNUSUALLY_LONG_RATIO
        return (secondLatency < untilTarget && (missesTarget || lastChance)) ||
            waited > longRun * slownessAtStart * LOST_RATIO
    }

    /** Delay after which the first check of a request of [job] is useful. */
    fun firstCheckDelay(job: RequestEstimate): Duration = job.serviceTime * FIRST_CHECK_SHARE

    private companion object {
        /** Slowness from which an upstream counts as slowed down by its neighbours. */
        const val SLOW_THRESHOLD = 2.5

        /**
         * Share of the usual service time after which an attempt at an upstream that was slow at its start may be given
         * up.
         */
        const val FIRST_CHECK_SHARE = 0.5

        /**
         * An attempt that takes this many times the usual service time is more likely at a slow upstream than long in
         * itself.
         */
        const val UNUSUALLY_LONG_RATIO = 1.4

        /** Time left before a second attempt would miss the target time. */
        val LAST_CHANCE_MARGIN = 25.milliseconds

        /** Multiple of a long service time after which the answer counts as lost. */
        const val LOST_RATIO = 2
    }
}
