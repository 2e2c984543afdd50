package io.poplarwood.entry.http

import io.ktor.server.application.ApplicationCall
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.entry.metrics.EntryMetrics

/** Reads one request's body from its caller. */
internal class BodyReader(
    call: ApplicationCall,
    private val length: Long?,
    private val maxBytes: Long,
    private val metrics: EntryMetrics,
) {
    private val channel: ByteReadChannel = call.request.receiveChannel()

    /** Reads a body of a declared length into memory. */
    suspend fun whole(): ByteArray {
        val size = checkNotNull(length).toInt()
        val bytes = ByteArray(size)
        var at = 0
        while (at < size) {
            val read = channel.readAvailable(bytes, at, size - at)
            if (read < 0) throw BodyFailure(Refusal(RefusalReason.MALFORMED))
            at += read
        }
        metrics.requestBytes(size.toLong())
        return bytes
    }

    /** Copies the body to [out] as it arrives. */
    suspend fun copyTo(out: ByteWriteChannel) {
        val buffer = ByteArray(BUFFER_BYTES)
        var total = 0L
        while (true) {
            val read = channel.readAvailable(buffer, 0, buffer.size)
            if (read < 0) break
            total += read
            if (total > maxBytes) throw BodyFailure(Refusal(RefusalReason.BODY_TOO_LARGE))
            out.writeFully(buffer, 0, read)
            out.flush()
            metrics.requestBytes(read.toLong())
        }
        if (length != null && total != length) throw BodyFailure(Refusal(RefusalReason.MALFORMED))
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
