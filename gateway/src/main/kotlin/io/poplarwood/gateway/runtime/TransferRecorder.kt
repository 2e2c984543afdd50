package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.configuration.ConfigurationChange
import io.poplarwood.gateway.configuration.TransferLog
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.metrics.TransferEvent
import io.poplarwood.gateway.store.StoreVersion
import kotlin.time.Duration

/** Writes transfers to [log] and counts them; what was sent is logged as a sum at each [flush]. */
internal class TransferRecorder(
    private val log: EventLog,
    private val metrics: GatewayMetrics,
) : TransferLog {
    private var pieces = 0
    private var bytes = 0L
    private var busyReplies = 0

    override fun encoded(change: ConfigurationChange, bytes: Int, took: Duration) =
        log.log(GatewayEvent.STATE_ENCODED, change.from?.row, change.to.row, bytes, took.inWholeMilliseconds)

    override fun sent(bytes: Int) {
        pieces++
        this.bytes += bytes
        metrics.transferred(TransferEvent.SENT, bytes)
    }

    override fun busy() {
        busyReplies++
        metrics.transferred(TransferEvent.BUSY)
    }

    override fun received(peer: String, change: ConfigurationChange, bytes: Int, took: Duration) {
        metrics.transferred(TransferEvent.RECEIVED, bytes)
        val routes = change.added.size + change.removed.size
        val tookMs = took.inWholeMilliseconds
        log.log(GatewayEvent.STATE_FETCHED, peer, change.from?.row, change.to.row, routes, bytes, tookMs)
    }

    override fun failed(peer: String, reason: String, took: Duration) {
        metrics.transferred(TransferEvent.FAILED)
        log.log(GatewayEvent.FETCH_FAILED, peer, reason, took.inWholeMilliseconds)
    }

    /** Writes what was sent since the last call, if anything was. */
    fun flush(storeVersion: StoreVersion) {
        if (pieces + busyReplies == 0) return
        log.log(GatewayEvent.STATE_SENT, storeVersion, pieces, bytes, busyReplies)
        pieces = 0
        bytes = 0
        busyReplies = 0
    }
}
