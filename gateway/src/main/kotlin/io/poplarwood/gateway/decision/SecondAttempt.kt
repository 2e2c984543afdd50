package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

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
     * @param usual mean time of its route, [long] a time that few exceed
     * @param left time until its aim
     * @param second where it would go
     */
    fun worthwhile(
        first: UpstreamRow,
        waited: Duration,
        usual: Duration,
        long: Duration,
        left: Duration,
        second: UpstreamRow,
        now: Duration,
    ): Boolean {
        if (waited < long) return false
        val there = placement.expected(second, usual, now)
        val slow = placement.slowness(first, now)
        val here = (usual * slow - waited).coerceAtLeast(usual * (slow - 1) * REMAINING)
        return there < left && there < here || waited > long * 2
    }

    private companion object {
        /** Share of a slow run that is still to come when it has outlasted a usual one. */
        const val REMAINING = 0.5
    }
}
