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
 * The engine ends a body that was cut as if it were complete; whether it is, only the connection's guard knows.
 *
 * @property length declared length; null when it comes in chunks
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
    private val stall = settings.bodyStallMs.milliseconds
    private var waited = Duration.ZERO
    private var total = 0L

    /** Why the body could not be read; null while it could. */
    @Volatile
    var failure: RequestBodyException? = null
        private set

    /** Waits for the first bytes, so that a body broken from the start is refused before anything runs. */
    suspend fun awaitStart() {
        awaitBytes()
        if (channel.isClosedForRead) checkEnd()
    }

    /** Reads a body of a declared length into memory. */
    suspend fun whole(): ByteArray {
        val bytes = ByteArray(checkNotNull(length).toInt())
        while (total < bytes.size) {
            val read = read(bytes, total.toInt(), bytes.size - total.toInt())
            if (read < 0) break
        }
        checkEnd()
        return bytes
    }

    /** Copies the body to [out] as it arrives. */
    suspend fun copyTo(out: UploadProducer, progress: BodyProgress) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            progress.awaitingCaller()
            val read = read(buffer, 0, buffer.size)
            progress.sending()
            if (read < 0) break
            out.send(buffer, read)
        }
        checkEnd()
    }

    private suspend fun read(buffer: ByteArray, at: Int, size: Int): Int {
        awaitBytes()
        val read = channel.readAvailable(buffer, at, size)
        if (read > 0) {
            total += read
            metrics.requestBytes(read.toLong())
            if (total > maxBytes) fail(RefusalReason.BODY_TOO_LARGE)
        }
        return read
    }

    private suspend fun awaitBytes() {
        if (channel.availableForRead > 0 || channel.isClosedForRead) return
        val from = ticker.now()
        withTimeoutOrNull(stall) { channel.awaitContent() } ?: fail(RefusalReason.SLOW_CALLER)
        waited += ticker.now() - from
        if (waited < stall) return
        val rate = total / waited.toDouble(DurationUnit.SECONDS)
        if (rate < settings.minBodyBytesPerSecond) fail(RefusalReason.SLOW_CALLER)
    }

    private fun checkEnd() {
        if (length != null && total == length) return
        if (length == null && exchange.isComplete) return
        val refusal = exchange.broken ?: Refusal(RefusalReason.CALLER_GONE)
        throw RequestBodyException(refusal).also { failure = it }
    }

    private fun fail(reason: RefusalReason): Nothing = throw RequestBodyException(Refusal(reason)).also { failure = it }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
