package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.metrics.ConfigurationStatus
import io.poplarwood.gateway.store.StateReplica
import kotlin.time.Duration

/** The current [ConfigurationStatus] of this entry. */
internal class ConfigurationStatusSource(private val book: StateReplica, private val ticker: Ticker) {
    fun status(): ConfigurationStatus {
        val now = ticker.now()
        return ConfigurationStatus(
            version = book.state?.version ?: 0,
            storeVersion = book.stateVersion.row,
            staleness = now - book.freshness.confirmedAt,
            behindFor = book.freshness.behind?.let { now - it.at } ?: Duration.ZERO,
            unreadableCount = book.freshness.unreadableCount,
        )
    }
}
