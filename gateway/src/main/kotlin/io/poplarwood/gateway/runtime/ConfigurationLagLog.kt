package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.StateReplica
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs when this entry has been behind the newest configuration for a while, and when it is no longer.
 *
 * @param log gets the event and its fields
 */
internal class ConfigurationLagLog(
    private val book: StateReplica,
    private val ticker: Ticker,
    private val log: (GatewayEvent, Array<out Any?>) -> Unit,
) {
    private var reported: Lag? = null

    /** Compares with the last call; called periodically. */
    fun check() {
        val lag = currentLag()
        val previous = reported
        if (lag == null && previous != null) {
            reported = null
            write(GatewayEvent.CONFIGURATION_CURRENT, previous)
        } else if (lag != null && previous == null && ticker.now() - lag.since >= MIN_LAG) {
            reported = lag
            write(GatewayEvent.CONFIGURATION_BEHIND, lag)
        }
    }

    private fun currentLag() = book.freshness.behind?.let {
        Lag(it.at, it.source, if (book.freshness.unreadable) "unreadable" else "not-received")
    }

    private fun write(event: GatewayEvent, lag: Lag) {
        val now = ticker.now()
        val forMs = (now - lag.since).inWholeMilliseconds
        val newest = book.freshness.newestKnown
        val confirmedMs = book.freshness.age(now).stalenessMs
        log(event, arrayOf<Any?>(forMs, book.stateVersion.row, newest, lag.source, lag.reason, confirmedMs))
    }

    private class Lag(val since: Duration, val source: String, val reason: String)

    private companion object {
        /** With large configurations, most entries are behind for less at each change. */
        val MIN_LAG = 1.seconds
    }
}
