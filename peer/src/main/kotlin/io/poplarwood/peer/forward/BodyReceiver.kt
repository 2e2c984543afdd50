package io.poplarwood.peer.forward

import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel

/**
 * Receives a body with credit-based flow control: buffers at most [WINDOW_CHUNKS] chunks, and each chunk that the
 * reader takes grants the sender credit for another one.
 *
 * @param grantCredit grants the sender credit for a number of chunks
 * @param onAbandoned called when the reader cancels the body before its end
 */
internal class BodyReceiver(private val grantCredit: (Int) -> Unit, private val onAbandoned: () -> Unit = {}) {
    private val buffered = Channel<ByteArray>(WINDOW_CHUNKS)
    private var nextIndex = 0

    /**
     * Buffers [chunk]. Returns false, and fails the body, when a chunk is missing, is larger than [MAX_CHUNK_BYTES] or
     * was sent without credit.
     */
    fun receive(chunk: PeerMessage.BodyChunk): Boolean {
        val inOrder = chunk.index == nextIndex++ && chunk.bytes.size <= MAX_CHUNK_BYTES
        if (!inOrder || (chunk.bytes.isNotEmpty() && !buffered.trySend(chunk.bytes).isSuccess)) {
            fail()
            return false
        }
        if (chunk.last) buffered.close()
        return true
    }

    /** Ends the body with [BodyTruncatedException]. */
    fun fail() {
        buffered.close(BodyTruncatedException())
    }

    /** The body as read by its consumer. Cancelling the returned channel calls [onAbandoned]. */
    fun body(scope: CoroutineScope): Body {
        val out = Channel<ByteArray>(Channel.RENDEZVOUS)
        scope.launchBody(out) {
            try {
                for (chunk in buffered) {
                    out.send(chunk)
                    grantCredit(1)
                }
            } catch (e: CancellationException) {
                onAbandoned()
                throw e
            }
        }
        return out
    }

    companion object {
        /** Largest number of chunks in flight or buffered. */
        const val WINDOW_CHUNKS = 16

        /** Largest chunk, in bytes. */
        const val MAX_CHUNK_BYTES = 16 * 1024
    }
}
