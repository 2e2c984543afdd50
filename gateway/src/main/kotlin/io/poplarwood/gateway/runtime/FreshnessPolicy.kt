package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.store.ConfigurationAge
import kotlin.time.Duration

/**
 * Decides what an entry whose configuration may be old does with a request.
 *
 * A configuration may have been replaced at any time since it was last confirmed to be the newest. So it serves
 * requests that arrived within the bound after that, whoever has told of a newer one and whenever that was read. Beyond
 * the bound it serves only while the store answers nobody and no entry is known to have a newer one.
 */
internal object FreshnessPolicy {
    /**
     * What happens to a request that arrives now.
     *
     * @param routeFound whether the configuration in force has a route for it
     * @param storeAway whether the store is known to answer nobody that this entry hears of
     * @param changeBound time within which a new configuration must be in force
     */
    fun verdict(
        routeFound: Boolean,
        age: ConfigurationAge,
        storeAway: Boolean,
        changeBound: Duration,
    ): FreshnessVerdict = when {
        routeFound && maySend(Duration.ZERO, age, storeAway, changeBound) -> FreshnessVerdict.SERVE
        routeFound || age.overtakenSince != null -> FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY
        age.newerKnown || age.staleness > changeBound -> FreshnessVerdict.REFUSE_UNTIL_CONFIRMED
        else -> FreshnessVerdict.NOT_FOUND
    }

    /**
     * Whether a request that arrived [waited] ago may be sent to an upstream under its route now. The rules judge a
     * request by when its caller sent it, so one that has waited may be sent under a configuration that has become too
     * old for new ones since.
     */
    fun maySend(waited: Duration, age: ConfigurationAge, storeAway: Boolean, changeBound: Duration): Boolean =
        age.staleness - waited <= changeBound || (storeAway && age.overtakenSince == null)
}
