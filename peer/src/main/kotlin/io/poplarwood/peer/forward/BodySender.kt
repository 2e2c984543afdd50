package io.poplarwood.peer.forward

import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.channels.Channel

/** Sends a body within the credit that its receiver gives. */
internal class BodySender(
    private val id: Long,
    private val ofAnswer: Boolean,
    private val sendMessage: suspend (PeerMessage) -> Unit,
) {
    private val credit = Channel<Unit>(Channel.UNLIMITED)

    init {
        addCredit(BodyReceiver.WINDOW_CHUNKS)
    }

    /** The receiver takes [chunks] more. */
    fun addCredit(chunks: Int) = repeat(minOf(chunks, BodyReceiver.WINDOW_CHUNKS)) { credit.trySend(Unit) }

    /** Sends all of [body]; a body that is cut short throws and ends without its last chunk. */
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
