package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.counter.SlidingWindowCounter
import kotlin.time.Duration

/**
 * Limits the attempts that this entry sends beyond the first one of each request (retries and second attempts), for
 * each service over a sliding window.
 *
 * The limit for all entries together is a ratio of the requests plus a fixed slack. Each entry applies the ratio to its
 * own requests and uses at most an equal part of the slack, so the sum stays within the limit without coordination, as
 * long as no entry counts fewer entries than there are.
 *
 * @param limits the limits currently in force
 * @param entries number of entries that share the slack
 */
internal class RetryBudget(
    private val window: Duration,
    private val limits: () -> RetryLimits,
    private val entries: () -> Int,
) {
    private val countersByService = HashMap<ServiceName, ServiceCounters>()

    /** Records a request for [service]. */
    fun recordRequest(service: ServiceName, now: Duration) {
        countersByService.getOrPut(service) { ServiceCounters() }.requests.add(now)
    }

    /** Takes one further attempt for [service] from the budget; returns false when the budget is exhausted. */
    fun tryAcquire(service: ServiceName, now: Duration): Boolean {
        val counters = countersByService.getOrPut(service) { ServiceCounters() }
        if (counters.retries.sum(now) + 1 > allowance(counters, now)) return false
        counters.retries.add(now)
        return true
    }

    /** Used share of the budget of [service], 0 to 1; 1 also while the budget allows nothing. */
    fun utilization(service: ServiceName, now: Duration): Double {
        val counters = countersByService[service] ?: return 0.0
        val allowance = allowance(counters, now)
        // The allowance shrinks when requests leave the window and when a limit or the number of entries changes.
        return if (allowance > 0) (counters.retries.sum(now) / allowance).coerceAtMost(1.0) else 1.0
    }

    private fun allowance(counters: ServiceCounters, now: Duration): Double {
        val limit = limits()
        return limit.ratio * counters.requests.sum(now) + limit.slack * RESTART_SLACK_SHARE / entries()
    }

    private inner class ServiceCounters {
        val requests = SlidingWindowCounter(window)

        // One bucket longer than the window: a retry that expired here a bucket early would count twice in a window
        // with other bucket boundaries.
        val retries = SlidingWindowCounter(window * (1 + 1.0 / SlidingWindowCounter.BUCKETS))
    }

    private companion object {
        /**
         * Half of the slack is left unused, since a restarted entry does not know what its previous incarnation spent.
         */
        const val RESTART_SLACK_SHARE = 0.5
    }
}
