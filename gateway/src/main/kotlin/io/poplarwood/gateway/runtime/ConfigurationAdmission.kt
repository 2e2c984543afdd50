package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.ConfigurationFreshness
import kotlin.time.Duration

/**
 * Applies [FreshnessPolicy] to this entry.
 *
 * @param storeAway whether the store is known to answer nobody that this entry hears of
 * @param changeBound time within which a new configuration must be in force
 */
internal class ConfigurationAdmission(
    private val freshness: ConfigurationFreshness,
    private val ticker: Ticker,
    private val storeAway: () -> Boolean,
    private val changeBound: () -> Duration,
) {
    /** Staleness of the configuration now, in milliseconds; null if it was never confirmed. */
    val confirmedMs: Long? get() = freshness.age(ticker.now()).stalenessMs

    /** What a request meets that arrives now. */
    fun verdict(routeFound: Boolean): FreshnessVerdict =
        FreshnessPolicy.verdict(routeFound, freshness.age(ticker.now()), storeAway(), changeBound())

    /** Whether a request that arrived at [arrivedAt] may be sent to an upstream under its route now. */
    fun maySend(arrivedAt: Duration): Boolean {
        val now = ticker.now()
        return FreshnessPolicy.maySend(now - arrivedAt, freshness.age(now), storeAway(), changeBound())
    }
}
