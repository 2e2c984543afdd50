package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.RequestEstimate
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Second attempts of one idempotent request whose first attempt is still unanswered.
 *
 * @param targetAt target time of the request
 */
internal class SecondAttempts(
    private val decisions: Decisions,
    private val route: Route,
    private val service: ServiceName,
    private val targetAt: Duration,
) {
    /** When to check next whether a second attempt is worthwhile. */
    fun nextCheckAt(first: Attempt, job: RequestEstimate, now: Duration): Duration =
        maxOf(first.sentAt + decisions.secondAttempt.firstCheckDelay(job), now + CHECK_INTERVAL)

    /**
     * The upstream for a second attempt, whose slot and place in the retry budget are then taken; null when no second
     * attempt is worthwhile. Upstreams that name a rate limit are left to first attempts.
     */
    fun select(first: Attempt, job: RequestEstimate, tried: Set<String>, now: Duration): UpstreamRow? {
        val rows = decisions.upstreams.of(service)
        val row =
            decisions.placement.selectUpstream(rows, job, tried, now) { !decisions.permits.isLimited(it) }
                ?: return null
        if (!isWorthwhile(first, row, job, now)) return null
        row.ownInFlight++
        decisions.permits.recordSend(row, route.priority, now)
        return row
    }

    private fun isWorthwhile(first: Attempt, row: UpstreamRow, job: RequestEstimate, now: Duration): Boolean {
        val longRunTime = decisions.workTimes.upperBound(route)
        val waited = now - first.sentAt
        return decisions.secondAttempt.shouldHedge(first.row, waited, job, longRunTime, targetAt - now, row, now) &&
            decisions.retryBudget.utilization(service, now) <= BUDGET_SHARE &&
            decisions.retryBudget.tryAcquire(service, now)
    }

    private companion object {
        /** Share of the retry budget for second attempts at slow requests; the rest is for shed or lost requests. */
        const val BUDGET_SHARE = 0.7
        val CHECK_INTERVAL = 10.milliseconds
    }
}
