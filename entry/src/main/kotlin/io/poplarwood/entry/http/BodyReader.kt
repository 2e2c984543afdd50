package io.poplarwood.entry.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.entry.forward.BodyProgress
import io.poplarwood.entry.forward.UploadProducer
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.settings.HttpSettings
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Reads one request's body from its caller.
 *
 * The server engine ends a truncated body as if the body were complete. Only [ConnectionGuard] records whether the
 * body arrived in full, so this class checks [exchange] at the end.
 *
 * @property length declared length in bytes; null for a chunked body
 * @property maxBytes limit of the request's class
 */
internal class BodyReader(
    private val channel: ByteReadChannel,
    private val exchange: CallerExchange,
    private val length: Long?,
    private val maxBytes: Long,
    private val settings: HttpSettings,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
) {
    private val stallTimeout = settings.bodyStallMs.milliseconds
    private var timeWaitingForCaller = Duration.ZERO
    private var bytesRead = 0L

    /** Why reading the body failed; null until a failure. */
    @Volatile
    var failure: RequestBodyException? = null
        private set

    /** Waits for the first bytes, so that a body malformed from its start is refused before an attempt begins. */
    suspend fun awaitFirstBytes() {
        awaitBytes()
        if (channel.isClosedForRead) requireComplete()
    }

    /** Reads a body of declared length into memory. Throws [RequestBodyException]. */
    suspend fun readAll(): ByteArray {
        val bytes = ByteArray(checkNotNull(length).toInt())
        while (bytesRead < bytes.size) {
            val read = read(bytes, bytesRead.toInt(), bytes.size - bytesRead.toInt())
            if (read < 0) break
        }
        requireComplete()
        return bytes
    }

    /** Copies the body to [out] as it arrives. Throws [RequestBodyException]. */
    suspend fun copyTo(out: UploadProducer, progress: BodyProgress) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            progress.awaitingCaller()
            val read = read(buffer, 0, buffer.size)
            progress.sending()
            if (read < 0) break
            out.send(buffer, read)
        }
        requireComplete()
    }

    private suspend fun read(buffer: ByteArray, offset: Int, size: Int): Int {
        awaitBytes()
        val read = channel.readAvailable(buffer, offset, size)
        if (read > 0) {
            bytesRead += read
            metrics.addRequestBytes(read.toLong())
            if (bytesRead > maxBytes) fail(RefusalReason.BODY_TOO_LARGE)
        }
        return read
    }

    private suspend fun awaitBytes() {
        if (channel.availableForRead > 0 || channel.isClosedForRead) return
        val waitStarted = ticker.now()
        withTimeoutOrNull(stallTimeout) { channel.awaitContent() } ?: fail(RefusalReason.SLOW_CALLER)
        timeWaitingForCaller += ticker.now() - waitStarted
        if (timeWaitingForCaller < stallTimeout) return
        val rate = bytesRead / timeWaitingForCaller.toDouble(DurationUnit.SECONDS)
        if (rate < settings.minBodyBytesPerSecond) fail(RefusalReason.SLOW_CALLER)
    }

    private fun requireComplete() {
        if (length != null && bytesRead == length) return
        if (length == null && exchange.isBodyComplete) return
        val refusal = exchange.inputRefusal ?: Refusal(RefusalReason.CALLER_GONE)
        throw RequestBodyException(refusal).also { failure = it }
    }

    private fun fail(reason: RefusalReason): Nothing = throw RequestBodyException(Refusal(reason)).also { failure = it }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
