package io.poplarwood.peer.link

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException

/** Reads and writes frames on one TCP connection. */
internal class FrameConnection(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val counters: PeerCounters,
) {
    /** The protocol violation that ended reading; null while reading, and after the connection closed or failed. */
    var fault: Rejection? = null
        private set

    /** Reads the next frame; null when the connection ended or the frame is invalid, see [fault]. */
    suspend fun read(): LinkFrame? {
        val frameBody = readBody() ?: return null
        counters.received(frameBody.size + FrameCodec.LENGTH_BYTES)
        return FrameCodec.decode(frameBody) ?: null.also { fault = Rejection.MALFORMED }
    }

    private suspend fun readBody(): ByteArray? = try {
        val length = input.readInt()
        if (length in 1..FrameCodec.MAX_BYTES) {
            input.readByteArray(length)
        } else {
            fault = if (length < 1) Rejection.MALFORMED else Rejection.OVERSIZED
            null
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }

    /** Writes [frame]; returns false when the connection has failed. */
    suspend fun write(frame: LinkFrame): Boolean = writeBody(FrameCodec.encode(frame))

    suspend fun writeBody(frameBody: ByteArray): Boolean = try {
        output.writeInt(frameBody.size)
        output.writeByteArray(frameBody)
        output.flush()
        counters.sent(frameBody.size + FrameCodec.LENGTH_BYTES)
        true
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        false
    }

    fun close() = socket.close()
}
