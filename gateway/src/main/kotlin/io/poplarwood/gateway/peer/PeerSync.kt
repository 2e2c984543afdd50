package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateReplica
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration

/**
 * Fetches newer registrations of upstreams from peers. An entry needs these while the store is unreachable for it, or when it
 * starts during an outage of the store.
 *
 * @param fetch requests the rows from a peer, which replies with its [answer] to the query; null when the peer does not
 * reply
 */
internal class PeerSync(
    private val fetch: suspend (peer: String, query: String) -> ByteArray?,
    private val peers: PeerTable,
    private val book: StateReplica,
    private val zone: String,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
    private val log: EventLog,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private var replies = 0
    private var replyBytes = 0L
    private var encodeTime = Duration.ZERO
    private var fetching = false

    /** The encoded reply to a peer's [query], which holds the version of the registrations that the peer has. */
    fun reply(query: String): ByteArray {
        val known = query.toLongOrNull() ?: 0
        val snapshot = PeerSnapshot(
            book.upstreamSnapshot().takeIf { book.upstreamVersion > known }?.map(ReplicatedRow::of),
            book.upstreamVersion,
            book.coveredVersion,
        )
        val encodeStartedAt = ticker.now()
        return cbor.encodeToByteArray(snapshot).also {
            replies++
            replyBytes += it.size
            encodeTime += ticker.now() - encodeStartedAt
        }
    }

    /** Logs what was sent to peers since the last call, if anything was. */
    fun logReplies() {
        if (replies == 0) return
        log.log(GatewayEvent.PEER_REPLY, book.upstreamVersion, replies, replyBytes, encodeTime.inWholeMilliseconds)
        replies = 0
        replyBytes = 0
        encodeTime = Duration.ZERO
    }

    /** Fetches from a peer with newer versions, if there is one; a peer of the own zone is preferred. */
    fun syncIfBehind() {
        val newerPeers = peers.live.filter { hasNewer(it) }
        if (fetching || newerPeers.isEmpty()) return
        val peer = newerPeers.firstOrNull { it.record.zone == zone } ?: newerPeers.first()
        fetching = true
        scope.launch {
            try {
                fetchFrom(peer)
            } finally {
                fetching = false
            }
        }
    }

    private suspend fun fetchFrom(peer: PeerStatus) {
        val knownVersion = book.upstreamVersion
        val startedAt = ticker.now()
        val body = fetch(peer.record.peers, query())
        val result = if (body == null) "no-reply" else "received"
        val tookMs = (ticker.now() - startedAt).inWholeMilliseconds
        log.log(GatewayEvent.PEER_FETCH, peer.name, knownVersion, body?.size ?: 0, tookMs, result)
        body?.let { merge(it, peer.name) }
    }

    private fun query() = book.upstreamVersion.toString()

    private fun hasNewer(peer: PeerStatus) = (peer.hello?.upstreamVersion ?: 0) > book.upstreamVersion

    private fun merge(body: ByteArray, from: String) {
        val received = try {
            cbor.decodeFromByteArray<PeerSnapshot>(body)
        } catch (e: SerializationException) {
            return
        }
        val rows = received.upstreams?.map { it.toStored() } ?: return
        book.applyAllUpstreams(RowSnapshot(rows, received.coveredVersion), from, received.upstreamVersion)
    }
}
