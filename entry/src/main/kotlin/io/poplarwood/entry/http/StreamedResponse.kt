package io.poplarwood.entry.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.poplarwood.entry.forward.CallerFailureException
import io.poplarwood.entry.forward.UpstreamResponse
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.log.LogEvent
import io.poplarwood.entry.metrics.EntryMetrics
import kotlinx.coroutines.CancellationException

/**
 * A response whose body is passed to the caller as it arrives.
 *
 * The server engine ends a failed response with a final chunk, so the caller would take the response for complete. The
 * caller's connection is therefore closed before the failure reaches the engine.
 */
internal class StreamedResponse(
    override val status: HttpStatusCode,
    private val response: UpstreamResponse,
    private val exchange: CallerExchange,
    private val metrics: EntryMetrics,
    private val log: EventLog,
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long? = response.length

    override suspend fun writeTo(channel: ByteWriteChannel) {
        val buffer = ByteArray(BUFFER_BYTES)
        var bytesSent = 0L
        while (true) {
            val read = read(buffer)
            if (read < 0) break
            write(channel, buffer, read)
            bytesSent += read
        }
        if (response.body.closedCause != null || (response.length != null && bytesSent != response.length)) {
            abortTruncated(response.body.closedCause)
        }
    }

    private suspend fun read(buffer: ByteArray): Int =
        try {
            response.body.readAvailable(buffer, 0, buffer.size)
        } catch (e: Exception) {
            abortTruncated(e)
        }

    private suspend fun write(channel: ByteWriteChannel, buffer: ByteArray, size: Int) {
        try {
            channel.writeFully(buffer, 0, size)
            channel.flush()
        } catch (e: CancellationException) {
            exchange.abort()
            throw e
        } catch (e: Exception) {
            exchange.abort()
            throw CallerFailureException("writing the response to the caller failed", e)
        }
        metrics.addResponseBytes(size.toLong())
    }

    private fun abortTruncated(cause: Throwable?): Nothing {
        exchange.abort()
        metrics.countTruncatedResponse()
        log.log(LogEvent.ANSWER_CUT, response.address)
        throw TruncatedResponseException(cause)
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
