package io.poplarwood.peer.forward

import io.poplarwood.peer.message.PeerMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel

/** A body that arrives. At most [WINDOW] chunks are held; the reader's progress gives the sender credit for more. */
internal class BodyReceiver(private val credit: (Int) -> Unit, private val abandoned: () -> Unit = {}) {
    private val held = Channel<ByteArray>(WINDOW)
    private var next = 0

    /** Takes in a chunk; returns false when the sender broke the rules or a chunk is missing. */
    fun received(chunk: PeerMessage.BodyChunk): Boolean {
        val inOrder = chunk.index == next++ && chunk.bytes.size <= MAX_CHUNK_BYTES
        if (!inOrder || (chunk.bytes.isNotEmpty() && !held.trySend(chunk.bytes).isSuccess)) {
            lost()
            return false
        }
        if (chunk.last) held.close()
        return true
    }

    fun lost() {
        held.close(BodyLost())
    }

    /** The body; every chunk taken from it is credited. A reader that cancels it ends the exchange. */
    fun body(scope: CoroutineScope): Body {
        val out = Channel<ByteArray>(Channel.RENDEZVOUS)
        scope.launchBody(out) {
            try {
                for (chunk in held) {
                    out.send(chunk)
                    credit(1)
                }
            } catch (e: CancellationException) {
                abandoned()
                throw e
            }
        }
        return out
    }

    companion object {
        /** Chunks that may be under way or held. */
        const val WINDOW = 16

        /** Largest chunk, in bytes. */
        const val MAX_CHUNK_BYTES = 16 * 1024
    }
}
