package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.EntryHttpClient
import io.poplarwood.gateway.http.InternalReply
import io.poplarwood.gateway.peer.CrashRecordStore
import io.poplarwood.gateway.peer.LoadGossip
import io.poplarwood.gateway.peer.PeerGossip
import io.poplarwood.gateway.peer.PeerSocket
import io.poplarwood.gateway.peer.PeerStatus
import io.poplarwood.gateway.reach.ReachQueries
import io.poplarwood.gateway.settings.GatewaySettings
import io.poplarwood.gateway.store.StateStore
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The exchange of one entry with the others: heartbeats, load, rows of the store, permits and crash records.
 *
 * @param onMessage called after a message that may allow queued requests to proceed
 */
internal class PeerServices(
    settings: GatewaySettings,
    runtime: ProcessRuntime,
    state: EntryState,
    store: StateStore,
    private val httpClient: EntryHttpClient,
    onMessage: () -> Unit,
) {
    private val ticker = runtime.ticker
    val socket = PeerSocket(
        runtime.eventLoopGroup,
        state.record.peers,
        runtime.metrics,
        { gossip.receive(it) },
    )
    val gossip: PeerGossip = PeerGossip(
        socket::send,
        settings.entry,
        state.record,
        state.peers,
        state.activeEntries,
        state.replica,
        state.crashSuspects,
        ticker,
        runtime.log,
        settings.store.readsPerSecond,
        onMessage,
    )
    val loadGossip: LoadGossip = LoadGossip(
        settings.entry,
        state.upstreams,
        ticker,
        { runtime.schedule(ZONE_UPDATE_DELAY) { sendLoad(near = true) } },
        { runtime.schedule(CROSS_ZONE_UPDATE_DELAY) { sendLoad(near = false) } },
        { upstream, born, source -> state.availability.markDraining(upstream, born, source, ticker.now()) },
        { row, observation, source -> state.availability.observeLimit(row, observation, source, ticker.now()) },
    )
    val rateLimiting = RateLimiting(
        settings.entry,
        state.upstreams,
        state.peers,
        state.activeEntries,
        ticker,
        runtime.metrics,
        socket::send,
        runtime::schedule,
        onMessage,
    )
    val stateExchange = StateExchange(
        settings.entry,
        state.record,
        ::callPeer,
        state.peers,
        state.activeEntries::receivesRequests,
        state.replica,
        settings.limits.linkMbps,
        runtime.background,
        runtime.random,
        runtime.scope,
        ticker,
        runtime.log,
        runtime.metrics,
    )
    private val reachQueries = ReachQueries(state.upstreams, ticker)
    private val crashRecords = CrashRecordStore(store, gossip.crashGossip, runtime.scope, runtime.log)
    val registration =
        EntryRegistration(
            store,
            settings.entry,
            state.record,
            state.peers,
            ticker,
            runtime.random,
            crashRecords,
            runtime.log,
        )

    init {
        gossip.loadGossip = loadGossip
        gossip.onPermitMessage = rateLimiting.exchange::receive
        state.replica.onRestored = { runtime.scope.launch { registration.registerAgain() } }
        gossip.requestSync = stateExchange::scheduleSync
        gossip.crashGossip.onRecorded = crashRecords::save
        state.crashSuspects.onCleared = { fingerprint ->
            if (state.activeEntries.isLeader) crashRecords.delete(fingerprint)
        }
    }

    /** The reply to a request of another entry for [target]. */
    suspend fun reply(target: String): InternalReply =
        (stateExchange.reply(target) ?: reachQueries.reply(target))?.let { InternalReply(OK, CBOR, it) }
            ?: InternalReply(NOT_FOUND, TEXT, ByteArray(0))

    /** Which of the upstreams [ids] have answered one of [witnesses] within [within] before now. */
    suspend fun answeringOthers(witnesses: List<PeerStatus>, ids: List<String>, within: Duration): Set<String> =
        coroutineScope {
            val path = reachQueries.path(ids, within)
            witnesses.map { async { reachQueries.parse(callPeer(it.record.peers, path)) } }.awaitAll()
                .flatMapTo(HashSet()) { it }
        }

    private fun sendLoad(near: Boolean) {
        val updates = if (near) loadGossip.drainOwnZone() else loadGossip.drainOtherZones()
        gossip.sendLoadUpdates(updates, near)
    }

    private suspend fun callPeer(peer: String, path: String): ByteArray? =
        httpClient.call(peer, "GET", path, null, PEER_QUERY_TIMEOUT)?.takeIf { it.status == OK }?.body

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val TEXT = "text/plain"
        const val CBOR = "application/cbor"

        val PEER_QUERY_TIMEOUT = 500.milliseconds

        /** Load updates are batched for this long, because every active entry has to process each message. */
        val ZONE_UPDATE_DELAY = 3.milliseconds
        val CROSS_ZONE_UPDATE_DELAY = 20.milliseconds
    }
}
