package io.poplarwood.entry.forward

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.suspendCancellableCoroutine
import org.apache.hc.core5.http.nio.AsyncEntityProducer
import org.apache.hc.core5.http.nio.DataStreamChannel
import java.io.IOException
import java.nio.ByteBuffer
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Passes a body to the client engine block by block; each block waits until the connection took the one before.
 *
 * Replaces the producer of the Ktor engine, which reads its byte channel from two threads at once: large uploads then
 * fail with a NullPointerException inside the channel.
 *
 * @param length declared length of the body in bytes; null for a chunked body
 */
internal class UploadProducer(private val length: Long?) : AsyncEntityProducer {
    /** Completes when the engine requests the first bytes; fails when the exchange ends before. */
    val outputRequested = CompletableDeferred<Unit>()

    private val lock = Any()
    private var output: DataStreamChannel? = null
    private var block: ByteBuffer? = null
    private var sender: CancellableContinuation<Unit>? = null
    private var ended = false
    private var failure: Exception? = null

    /** Sends the first [size] bytes of [bytes], which must not change before this call returns. */
    suspend fun send(bytes: ByteArray, size: Int) =
        suspendCancellableCoroutine { continuation ->
            val earlierFailure =
                synchronized(lock) {
                    block = ByteBuffer.wrap(bytes, 0, size)
                    sender = continuation
                    failure
                }
            if (earlierFailure != null) fail(earlierFailure) else output?.requestOutput()
        }

    /** Marks the body as complete. */
    fun finish() {
        synchronized(lock) { ended = true }
        output?.requestOutput()
    }

    override fun produce(channel: DataStreamChannel) {
        var written: CancellableContinuation<Unit>? = null
        synchronized(lock) {
            failure?.let { throw it }
            output = channel
            val sending = block
            if (sending != null) channel.write(sending)
            if (sending != null && !sending.hasRemaining()) {
                block = null
                written = sender
                sender = null
            }
            if (ended && block == null) channel.endStream()
        }
        outputRequested.complete(Unit)
        written?.resume(Unit)
    }

    override fun available(): Int = synchronized(lock) { block?.remaining() ?: if (ended) 1 else 0 }

    override fun failed(cause: Exception) = fail(cause)

    override fun releaseResources() = fail(IOException("the exchange ended"))

    private fun fail(cause: Exception) {
        val suspended =
            synchronized(lock) {
                if (failure == null) failure = cause
                block = null
                sender.also { sender = null }
            }
        outputRequested.completeExceptionally(cause)
        suspended?.resumeWithException(cause)
    }

    override fun getContentLength(): Long = length ?: -1

    override fun isChunked(): Boolean = length == null

    override fun isRepeatable(): Boolean = false

    override fun getContentType(): String? = null

    override fun getContentEncoding(): String? = null

    override fun getTrailerNames(): Set<String> = emptySet()
}
