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
 * An answer whose body is passed on as it arrives.
 *
 * The server engine ends a failed answer with a final chunk, which the caller takes for a complete one. The caller's
 * connection is therefore closed before the engine learns of the failure.
 */
internal class StreamedResponse(
    override val status: HttpStatusCode,
    private val answer: UpstreamResponse,
    private val exchange: CallerExchange,
    private val metrics: EntryMetrics,
    private val log: EventLog,
) : OutgoingContent.WriteChannelContent() {
    override val contentLength: Long? = answer.length

    override suspend fun writeTo(channel: ByteWriteChannel) {
        val buffer = ByteArray(BUFFER_BYTES)
        var total = 0L
        while (true) {
            val read = read(buffer)
            if (read < 0) break
            write(channel, buffer, read)
            total += read
        }
        if (answer.body.closedCause != null || (answer.length != null && total != answer.length)) {
            cut(answer.body.closedCause)
        }
    }

    private suspend fun read(buffer: ByteArray): Int =
        try {
            answer.body.readAvailable(buffer, 0, buffer.size)
        } catch (e: Exception) {
            cut(e)
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
            throw CallerFailureException("the caller's connection failed", e)
        }
        metrics.answerBytes(size.toLong())
    }

    private fun cut(cause: Throwable?): Nothing {
        exchange.abort()
        metrics.cutAnswer()
        log.log(LogEvent.ANSWER_CUT, answer.address)
        throw TruncatedResponseException(cause)
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
