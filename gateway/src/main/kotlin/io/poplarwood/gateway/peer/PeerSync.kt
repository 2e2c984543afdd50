package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.configuration.Compression
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
 * Fetches newer registrations of upstreams from peers. An entry needs these while the store is unreachable for
 * it, or when it
 * starts during an outage of the store.
 *
 * @param fetch requests the rows from a peer, which replies with its [answer] to the query; null when the peer
 * does not
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
    private var failedPeer: String? = null

    /** The encoded reply to a peer's query, which [RegistrationQuery] describes. */
    fun reply(text: String): ByteArray {
        val query = RegistrationQuery.parse(text)
        val changes =
            if (query.afterKey == null) book.upstreamChanges(query.covered)?.takeIf { it.size <= PAGE_ROWS } else null
        val page = changes ?: book.upstreamPage(query.afterKey.orEmpty(), PAGE_ROWS + 1)
        val snapshot = PeerSnapshot(
            rows = (if (changes == null) page.take(PAGE_ROWS) else page).map(ReplicatedRow::of),
            after = query.covered.takeIf { changes != null },
            more = changes == null && page.size > PAGE_ROWS,
            upstreamVersion = book.upstreamVersion,
            coveredVersion = book.coveredVersion,
        )
        val encodeStartedAt = ticker.now()
        return Compression.pack(cbor.encodeToByteArray(snapshot)).also {
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
        if (fetching) return
        val newerPeers = peers.live.filter { hasNewer(it) }.sortedBy { it.record.zone != zone }
        // A peer that did not send what was requested comes after the others.
        val peer = newerPeers.firstOrNull { it.name != failedPeer } ?: newerPeers.firstOrNull() ?: return
        fetching = true
        scope.launch {
            try {
                fetchFrom(peer)
            } finally {
                fetching = false
            }
        }
    }

    /** Fetches what changed, or all pages when [peer] no longer knows what changed since then. */
    private suspend fun fetchFrom(peer: PeerStatus) {
        val first = fetchPage(peer, RegistrationQuery(book.coveredVersion, null)) ?: return
        val after = first.after
        if (after != null) {
            val rows = RowSnapshot(first.rows.map { it.toStored() }, first.coveredVersion)
            book.applyUpstreamChanges(rows, after, peer.name, first.upstreamVersion)
            return
        }
        val pages = arrayListOf(first)
        while (pages.last().more) {
            val key = pages.last().rows.last().key
            pages += fetchPage(peer, RegistrationQuery(book.coveredVersion, key)) ?: return
        }
        val rows = pages.flatMap { page -> page.rows.map { it.toStored() } }
        // What changed while the pages were read is fetched as a change after the lowest version.
        book.applyAllUpstreams(
            RowSnapshot(rows, pages.minOf { it.coveredVersion }),
            peer.name,
            pages.minOf { it.upstreamVersion },
        )
    }

    private suspend fun fetchPage(peer: PeerStatus, query: RegistrationQuery): PeerSnapshot? {
        val knownVersion = book.upstreamVersion
        val startedAt = ticker.now()
        val body = fetch(peer.record.peers, query.encode())
        val page = body?.let(::decode)
        failedPeer = if (page == null) peer.name else failedPeer.takeIf { it != peer.name }
        val result = if (body == null) {
            "no-reply"
        } else if (page == null) {
            "unreadable"
        } else {
            "received"
        }
        val tookMs = (ticker.now() - startedAt).inWholeMilliseconds
        log.log(GatewayEvent.PEER_FETCH, peer.name, knownVersion, body?.size ?: 0, tookMs, result)
        return page
    }

    private fun decode(body: ByteArray): PeerSnapshot? = try {
        Compression.unpack(body)?.let { cbor.decodeFromByteArray<PeerSnapshot>(it) }
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

    private fun hasNewer(peer: PeerStatus) = (peer.hello?.upstreamVersion ?: 0) > book.upstreamVersion

    private companion object {
        /** Rows of one page; with 330 bytes each, a page takes a link of 7 Mbit/s less than 50 ms. */
        const val PAGE_ROWS = 500
    }
}
