package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.limit.PermitPool
import io.poplarwood.gateway.limit.UpstreamPermits
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.ActiveEntries
import io.poplarwood.gateway.peer.IssuerSelection
import io.poplarwood.gateway.peer.PeerMessage
import io.poplarwood.gateway.peer.PeerTable
import io.poplarwood.gateway.peer.PermitExchange
import io.poplarwood.gateway.upstream.IncarnationId
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * The parts of one entry that keep the rates which upstreams name for all entries together.
 *
 * @param send sends a message to each of the given `ip:port`; delivery is not guaranteed
 * @param schedule runs an action after a delay
 * @param onReceived called after permits arrived that a queued request may use
 */
internal class RateLimiting(
    self: String,
    upstreams: UpstreamTable,
    peers: PeerTable,
    roles: ActiveEntries,
    ticker: Ticker,
    metrics: GatewayMetrics,
    send: (PeerMessage, List<String>) -> Unit,
    schedule: (Duration, () -> Unit) -> Unit,
    onReceived: () -> Unit,
) {
    private val issuers = IssuerSelection(self, peers, roles, ticker)
    private val pool = PermitPool<IncarnationId>(issuers::requestLifetime, metrics::permitChanged)

    /** Exchange of permits with other entries. */
    val exchange = PermitExchange(
        self,
        upstreams,
        issuers,
        pool,
        ticker,
        { message, peer -> peers[peer]?.let { send(message, listOf(it.record.peers)) } },
        schedule,
        metrics::permitChanged,
        onReceived,
    )

    /** Permits of this entry. */
    val permits = UpstreamPermits(pool, exchange::request) { issuers.candidateCount }
}
