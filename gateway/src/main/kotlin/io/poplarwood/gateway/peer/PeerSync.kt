package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.Rows
import io.poplarwood.gateway.store.StateBook
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gets from peers what they know and this entry does not: it may be cut off from the store, or start while the store is
 * away.
 *
 * @param fetch fetches what a peer knows, as its [answer] to the question gives it; null when it does not answer
 */
internal class PeerSync(
    private val fetch: suspend (peer: String, query: String) -> ByteArray?,
    private val peers: PeerTable,
    private val book: StateBook,
    private val zone: String,
    private val scope: CoroutineScope,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private var scheduled = false
    private var fetching = false

    /** What this entry tells a peer that asks [query], the versions that it knows itself. */
    fun answer(query: String): ByteArray {
        val versions = query.split(SEPARATOR).map { it.toLongOrNull() ?: 0 }
        val (state, upstreams) = book.snapshot()
        val snapshot =
            PeerSnapshot(
                state?.takeIf { it.version > versions.first() }?.let(ReplicatedRow::of),
                upstreams.takeIf { book.upstreamVersion > (versions.getOrNull(1) ?: 0) }?.map(ReplicatedRow::of),
                book.upstreamVersion,
                book.coveredVersion,
            )
        return cbor.encodeToByteArray(snapshot)
    }

    /** Looks soon whether a peer knows more; news of one change come from different entries, so not at once. */
    fun lookSoon() {
        if (scheduled) return
        scheduled = true
        scope.launch {
            if (book.state != null) delay(SYNC_DELAY)
            scheduled = false
            look()
        }
    }

    /** Asks a peer that knows more, if there is one. */
    fun look() {
        val newerPeers = peers.live.filter { hasNewer(it) }
        if (fetching || newerPeers.isEmpty()) return
        val peer = newerPeers.firstOrNull { it.record.zone == zone } ?: newerPeers.first()
        fetching = true
        scope.launch {
            try {
                fetch(peer.record.peers, query())?.let { merge(it, peer.name) }
            } finally {
                fetching = false
            }
        }
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
        received.state?.let { book.takeState(Rows(listOf(it.toStored()), it.version), from) }
        val rows = received.upstreams?.map { it.toStored() } ?: return
        book.takeAllUpstreams(Rows(rows, received.coveredVersion), from, received.upstreamVersion)
    }

    private companion object {
        const val SEPARATOR = "-"

        /** News of one change arrive from different entries within this time. */
        val SYNC_DELAY = 50.milliseconds
    }
}
