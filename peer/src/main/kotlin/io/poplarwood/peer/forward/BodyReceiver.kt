package io.poplarwood.peer.forward

import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel

/** Receives a body; buffers at most [WINDOW_CHUNKS] chunks and grants the sender credit as the reader takes them. */
internal class BodyReceiver(private val grantCredit: (Int) -> Unit, private val onAbandoned: () -> Unit = {}) {
    private val buffered = Channel<ByteArray>(WINDOW_CHUNKS)
    private var nextIndex = 0

    /** Takes in a chunk; returns false when the sender broke the rules or a chunk is missing. */
    fun receive(chunk: PeerMessage.BodyChunk): Boolean {
        val inOrder = chunk.index == nextIndex++ && chunk.bytes.size <= MAX_CHUNK_BYTES
        if (!inOrder || (chunk.bytes.isNotEmpty() && !buffered.trySend(chunk.bytes).isSuccess)) {
            fail()
            return false
        }
        if (chunk.last) buffered.close()
        return true
    }

    fun fail() {
        buffered.close(BodyLost())
    }

    /** The body; every chunk taken from it is credited. A reader that cancels it ends the exchange. */
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
        /** Chunks that may be under way or held. */
        const val WINDOW_CHUNKS = 16

        /** Largest chunk, in bytes. */
        const val MAX_CHUNK_BYTES = 16 * 1024
    }
}
