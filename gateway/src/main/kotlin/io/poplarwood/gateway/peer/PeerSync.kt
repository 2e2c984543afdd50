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
 * @param ask fetches what a peer knows, as its [answer] to the question gives it; null when it does not answer
 */
internal class PeerSync(
    private val ask: suspend (peer: String, question: String) -> ByteArray?,
    private val peers: PeerTable,
    private val book: StateBook,
    private val zone: String,
    private val scope: CoroutineScope,
) {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private var looking = false
    private var asking = false

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

    /** Looks soon whether a peer knows more; news of one change come from different entries, so not at once. */
    fun lookSoon() {
        if (looking) return
        looking = true
        scope.launch {
            if (book.state != null) delay(PATIENCE)
            looking = false
            look()
        }
    }

    /** Asks a peer that knows more, if there is one. */
    fun look() {
        val ahead = peers.live.filter { knowsMore(it) }
        if (asking || ahead.isEmpty()) return
        val peer = ahead.firstOrNull { it.record.zone == zone } ?: ahead.first()
        asking = true
        scope.launch {
            try {
                ask(peer.record.peers, question())?.let { take(it, peer.name) }
            } finally {
                asking = false
            }
        }
    }

    private fun question() = "${book.stateVersion}$SEPARATOR${book.upstreamVersion}"

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
