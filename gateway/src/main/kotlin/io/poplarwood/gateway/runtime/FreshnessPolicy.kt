package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.store.ConfigurationAge
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides what an entry whose configuration may be old does with a request. */
internal object FreshnessPolicy {
    /**
     * Time between the change of the store and the moment at which this entry hears of it, for which the bound is
     * reduced: a tick of the entry that follows the store, a heartbeat that is lost, and transit.
     */
    private val ANNOUNCEMENT_DELAY = 500.milliseconds

    /**
     * What happens to a request.
     *
     * @param routeFound whether the configuration in force has a route for it
     * @param changeBound time within which a new configuration must be in force
     */
    fun verdict(routeFound: Boolean, age: ConfigurationAge, now: Duration, changeBound: Duration): FreshnessVerdict =
        when {
            routeFound && overdue(age, now, changeBound) -> FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY
            routeFound -> FreshnessVerdict.SERVE
            age.overtakenSince != null -> FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY
            age.newerKnown || age.staleness > changeBound -> FreshnessVerdict.REFUSE_UNTIL_CONFIRMED
            else -> FreshnessVerdict.NOT_FOUND
        }

    /**
     * Whether a request that arrived at [arrivedAt] and has not been sent to an upstream must not be sent under its
     * route any more. One that arrived before the newer configuration was announced may be: requests are judged by when
     * their callers sent them.
     */
    fun expiredInQueue(arrivedAt: Duration, age: ConfigurationAge, now: Duration, changeBound: Duration): Boolean {
        val overtakenSince = age.overtakenSince ?: return false
        return arrivedAt > overtakenSince && overdue(age, now, changeBound)
    }

    private fun overdue(age: ConfigurationAge, now: Duration, changeBound: Duration): Boolean {
        val overtakenSince = age.overtakenSince ?: return false
        return now - overtakenSince > (changeBound - ANNOUNCEMENT_DELAY).coerceAtLeast(Duration.ZERO)
    }
}
