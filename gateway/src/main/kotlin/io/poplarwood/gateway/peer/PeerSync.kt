package io.poplarwood.gateway.peer

import io.poplarwood.api.time.Ticker
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
 *
 * @param ask fetches what a peer knows, as its [answer] to the question gives it; null when it does not answer
 */
internal class PeerSync(
    private val ask: suspend (peer: String, question: String) -> ByteArray?,
    private val peers: PeerTable,
    private val book: StateBook,
    private val ticker: Ticker,
    private val zone: String,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private var behindSince: Duration? = null

    /** What this entry tells a peer that asks [question], the versions that it knows itself. */
    fun answer(question: String): ByteArray {
        val versions = question.split(SEPARATOR).map { it.toLongOrNull() ?: 0 }
        val (state, upstreams) = book.snapshot()
        val news =
            PeerState(
                state?.takeIf { it.version > versions.first() }?.let(PeerStateRow::of),
                upstreams.takeIf { book.upstreamVersion > (versions.getOrNull(1) ?: 0) }?.map(PeerStateRow::of),
                book.upstreamVersion,
                book.coveredVersion,
            )
        return cbor.encodeToByteArray(news)
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
        ask(peer.record.peers, "${book.stateVersion}$SEPARATOR${book.upstreamVersion}")?.let { take(it, peer.name) }
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
        val rows = known.upstreams?.map { it.toStored() } ?: return
        book.takeAllUpstreams(Rows(rows, known.coveredVersion), from, known.upstreamVersion)
    }

    private companion object {
        const val SEPARATOR = "-"

        /** News of one change arrive from different entries within this time. */
        val PATIENCE = 50.milliseconds
    }
}
