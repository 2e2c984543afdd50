package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.store.ConfigurationFreshness
import kotlin.time.Duration

/**
 * Applies [FreshnessPolicy] to this entry.
 *
 * @param changeBound time within which a new configuration must be in force
 */
internal class ConfigurationAdmission(
    private val freshness: ConfigurationFreshness,
    private val ticker: Ticker,
    private val changeBound: () -> Duration,
) {
    /** Staleness of the configuration now, in milliseconds; null if it was never confirmed. */
    val confirmedMs: Long? get() = freshness.age(ticker.now()).stalenessMs

    /** What a request meets that arrives now. */
    fun verdict(routeFound: Boolean): FreshnessVerdict {
        val now = ticker.now()
        return FreshnessPolicy.verdict(routeFound, freshness.age(now), now, changeBound())
    }

    /** Whether a request that arrived at [arrivedAt] waited too long to be sent under its route. */
    fun expiredInQueue(arrivedAt: Duration): Boolean {
        val now = ticker.now()
        return FreshnessPolicy.expiredInQueue(arrivedAt, freshness.age(now), now, changeBound())
    }
}
