package io.poplarwood.gateway.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.BackgroundWork
import io.poplarwood.gateway.configuration.Configuration
import io.poplarwood.gateway.configuration.ConfigurationHistory
import io.poplarwood.gateway.configuration.compute
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent

/** Decodes desired states in the [background], which takes long when there are many routes. */
internal class DesiredStateDecoder(
    private val codec: StateCodec,
    private val background: BackgroundWork,
    private val history: ConfigurationHistory,
    private val freshness: ConfigurationFreshness,
    private val ticker: Ticker,
    private val log: EventLog,
) {
    /** The desired state [value] of [row]; null when it cannot be decoded, which is recorded once. */
    suspend fun decode(row: StoredRow, value: ByteArray, source: String): Configuration? {
        val startedAt = ticker.now()
        val earlier = history.newest
        val decoded = background.compute {
            codec.desiredState(value).map { Configuration(it, row.version).sharing(earlier) }
        }
        val configuration = decoded.getOrElse {
            val isNew = freshness.reject(row.version, startedAt, source)
            if (isNew) log.log(GatewayEvent.STATE_UNREADABLE, it.detail, row.version)
            return null
        }
        log.log(GatewayEvent.STATE_DECODED, row.version, value.size, (ticker.now() - startedAt).inWholeMilliseconds)
        return configuration
    }
}
