package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/**
 * Limits what this entry sends beyond the first attempt of each request, for each service over a sliding window.
 *
 * The limit of all entries together is a share of the requests plus a fixed slack. Each entry keeps to that share of
 * its own requests plus its part of the slack, so the sum holds whatever entries know of each other, as long as none
 * counts fewer entries than there are.
 *
 * @param limits what is allowed now
 * @param entries number of entries that share the slack
 */
internal class RepeatBudget(
    private val window: Duration,
    private val limits: () -> RepeatLimits,
    private val entries: () -> Int,
) {
    private val countersByService = HashMap<ServiceName, ServiceCounters>()

    /** Notes a request for [service]. */
    fun request(service: ServiceName, now: Duration) {
        countersByService.getOrPut(service) { ServiceCounters() }.requests.add(now)
    }

    /** Takes one further attempt at [service] out of the budget; false when there is none left. */
    fun take(service: ServiceName, now: Duration): Boolean {
        val counters = countersByService.getOrPut(service) { ServiceCounters() }
        if (counters.retries.sum(now) + 1 > allowance(counters, now)) return false
        counters.retries.add(now)
        return true
    }

    /** Share of the budget of [service] that is used, 0 to 1. */
    fun used(service: ServiceName, now: Duration): Double {
        val counters = countersByService[service] ?: return 0.0
        return counters.retries.sum(now) / allowance(counters, now)
    }

    private fun allowance(counters: ServiceCounters, now: Duration): Double {
        val limit = limits()
        return limit.ratio * counters.requests.sum(now) + limit.slack * RESTART_SLACK_SHARE / entries()
    }

    private inner class ServiceCounters {
        val requests = SlidingCount(window)

        // A repeat that left its window of this entry a bucket early would count twice in one of the others'.
        val retries = SlidingCount(window * (1 + 1.0 / SlidingCount.BUCKETS))
    }

    private companion object {
        /** A restarted entry does not know what its earlier run spent. */
        const val RESTART_SLACK_SHARE = 0.5
    }
}
