package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.http.HttpCaller
import io.poplarwood.gateway.http.InternalReply
import io.poplarwood.gateway.store.Rows
import io.poplarwood.gateway.store.StateBook
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gets from peers what they know and this entry does not: it may be cut off from the store, or start while the store is
 * away.
 */
internal class PeerSync(
    private val caller: HttpCaller,
    private val peers: PeerTable,
    private val book: StateBook,
    private val ticker: Ticker,
    private val zone: String,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private var behindSince: Duration? = null

    /** What this entry tells a peer that asks. */
    fun answer(): InternalReply {
        val (state, upstreams) = book.snapshot()
        val whole =
            PeerState(
                state?.let(PeerStateRow::of),
                upstreams.map(PeerStateRow::of),
                book.upstreamVersion,
                book.coveredVersion,
            )
        return InternalReply(OK, "application/cbor", cbor.encodeToByteArray(whole))
    }

    /** Asks a peer that knows more, once it has known more for a while. */
    suspend fun tick() {
        val now = ticker.now()
        val ahead = peers.live.filter { knowsMore(it) }
        if (ahead.isEmpty()) {
            behindSince = null
            return
        }
        val since = behindSince ?: now.also { behindSince = it }
        if (book.state != null && now - since < PATIENCE) return
        val peer = ahead.firstOrNull { it.record.zone == zone } ?: ahead.first()
        val reply = caller.call(peer.record.peers, "GET", PATH, null, LIMIT)
        if (reply == null || reply.status != OK) return
        take(reply.body, peer.name)
    }

    private fun knowsMore(peer: PeerRow): Boolean {
        val hello = peer.hello ?: return false
        return hello.stateVersion > book.stateVersion || hello.upstreamVersion > book.upstreamVersion
    }

    private fun take(body: ByteArray, from: String) {
        val known = try {
            cbor.decodeFromByteArray<PeerState>(body)
        } catch (e: SerializationException) {
            return
        }
        known.state?.let { book.takeState(Rows(listOf(it.toStored()), it.version), from) }
        book.takeAllUpstreams(Rows(known.upstreams.map { it.toStored() }, known.coveredVersion), from)
    }

    companion object {
        /** Path of the peers' listener that answers with [PeerState]. */
        const val PATH: String = "/state"
        private const val OK = 200
        private val LIMIT = 500.milliseconds

        /** News of one change arrive from different entries within this time. */
        private val PATIENCE = 50.milliseconds
    }
}
