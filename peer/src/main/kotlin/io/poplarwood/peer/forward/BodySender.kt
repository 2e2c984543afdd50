package io.poplarwood.peer.forward

import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.channels.Channel

/** Sends a body in chunks, within the credit granted by its receiver. */
internal class BodySender(
    private val id: Long,
    private val ofAnswer: Boolean,
    private val sendMessage: suspend (PeerMessage) -> Unit,
) {
    private val credit = Channel<Unit>(Channel.UNLIMITED)

    init {
        addCredit(BodyReceiver.WINDOW_CHUNKS)
    }

    /** Adds credit for [chunks] chunks, at most one window. */
    fun addCredit(chunks: Int) = repeat(minOf(chunks, BodyReceiver.WINDOW_CHUNKS)) { credit.trySend(Unit) }

    /** Sends [body] to its end. Throws when [body] is truncated; the receiver then gets no last chunk. */
    suspend fun send(body: Body) {
        var index = 0
        for (chunk in body) {
            for (from in chunk.indices step BodyReceiver.MAX_CHUNK_BYTES) {
                val part = chunk.copyOfRange(from, minOf(chunk.size, from + BodyReceiver.MAX_CHUNK_BYTES))
                credit.receive()
                sendMessage(PeerMessage.BodyChunk(id, ofAnswer, index++, part, last = false))
            }
        }
        sendMessage(PeerMessage.BodyChunk(id, ofAnswer, index, ByteArray(0), last = true))
    }
}
