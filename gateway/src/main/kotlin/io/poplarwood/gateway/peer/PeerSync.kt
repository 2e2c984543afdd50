package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.store.RowSnapshot
import io.poplarwood.gateway.store.StateReplica
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Fetches newer rows of the store from peers. An entry needs these while the store is unreachable for it, or when it
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
    private var scheduled = false
    private var fetching = false

    /** The encoded reply to a peer's [query], which holds the versions that the peer has. */
    fun reply(query: String): ByteArray {
        val versions = query.split(SEPARATOR).map { it.toLongOrNull() ?: 0 }
        val (state, upstreams) = book.snapshot()
        val snapshot =
            PeerSnapshot(
                state?.takeIf { it.version > versions.first() }?.let(ReplicatedRow::of),
                upstreams.takeIf { book.upstreamVersion > (versions.getOrNull(1) ?: 0) }?.map(ReplicatedRow::of),
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
        log.log(GatewayEvent.PEER_REPLY, book.stateVersion, replies, replyBytes, encodeTime.inWholeMilliseconds)
        replies = 0
        replyBytes = 0
        encodeTime = Duration.ZERO
    }

    /**
     * Schedules [look] after a short delay, since updates of one change arrive from several entries; without a delay
     * while this entry has no desired state.
     */
    fun scheduleSync() {
        if (scheduled) return
        scheduled = true
        scope.launch {
            if (book.state != null) delay(SYNC_DELAY)
            scheduled = false
            syncIfBehind()
        }
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
        val knownVersion = book.stateVersion
        val startedAt = ticker.now()
        val body = fetch(peer.record.peers, query())
        val result = if (body == null) "no-reply" else "received"
        val tookMs = (ticker.now() - startedAt).inWholeMilliseconds
        log.log(GatewayEvent.PEER_FETCH, peer.name, knownVersion, body?.size ?: 0, tookMs, result)
        body?.let { merge(it, peer.name) }
    }

    private fun query() = "${book.stateVersion}$SEPARATOR${book.upstreamVersion}"

    private fun hasNewer(peer: PeerStatus): Boolean {
        val hello = peer.hello ?: return false
        return hello.stateVersion > book.stateVersion || hello.upstreamVersion > book.upstreamVersion
    }

    private fun merge(body: ByteArray, from: String) {
        val received = try {
            cbor.decodeFromByteArray<PeerSnapshot>(body)
        } catch (e: SerializationException) {
            return
        }
        received.state?.let { book.applyState(RowSnapshot(listOf(it.toStored()), it.version), from) }
        val rows = received.upstreams?.map { it.toStored() } ?: return
        book.applyAllUpstreams(RowSnapshot(rows, received.coveredVersion), from, received.upstreamVersion)
    }

    private companion object {
        const val SEPARATOR = "-"

        /** Updates of one change arrive from different entries within this time. */
        val SYNC_DELAY = 50.milliseconds
    }
}
