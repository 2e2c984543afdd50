package io.poplarwood.entry.http

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.ResponseHeaders
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.UpstreamAnswer
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.api.http.Headers as Own

/** Writes answers to callers. */
internal class AnswerWriter(private val metrics: EntryMetrics) {
    /** Answers with [refusal]. */
    suspend fun refuse(call: ApplicationCall, refusal: Refusal, id: RequestId) {
        val answer = RefusalAnswer(refusal, id)
        for ((name, value) in answer.headers) {
            if (name != HttpHeaders.ContentType) call.response.headers.append(name, value)
        }
        call.respond(Whole(HttpStatusCode.fromValue(answer.status), answer.body, JSON_TYPE))
    }

    /** Passes [answer] on. Throws [AnswerCut] when it ends early after its head was sent. */
    suspend fun pass(
        call: ApplicationCall,
        answer: UpstreamAnswer,
        id: RequestId,
        committed: () -> Unit,
    ) {
        val named = HopHeaders.named(answer.headers.getAll(HttpHeaders.Connection))
        val status = HttpStatusCode(answer.status, "")
        val length = answer.length
        val bodiless = call.request.local.method.value == "HEAD" || answer.status in BODILESS
        if (!bodiless && length != null && length <= WHOLE_BYTES) {
            val bytes = readWhole(answer, length.toInt())
            committed()
            copyHeaders(answer.headers, named, call.response.headers, id)
            metrics.answerBytes(length)
            call.respond(Whole(status, bytes, null))
            return
        }
        committed()
        copyHeaders(answer.headers, named, call.response.headers, id)
        if (bodiless) call.respond(Bodiless(status, length)) else call.respond(Streamed(status, answer))
    }

    private suspend fun readWhole(answer: UpstreamAnswer, length: Int): ByteArray {
        val bytes = ByteArray(length)
        var at = 0
        while (at < length) {
            val read = answer.body.readAvailable(bytes, at, length - at)
            if (read < 0) throw AnswerCut(answer.body.closedCause)
            at += read
        }
        return bytes
    }

    private fun copyHeaders(
        from: Headers,
        named: Set<String>,
        to: ResponseHeaders,
        id: RequestId,
    ) {
        from.forEach { name, values ->
            if (HopHeaders.passesToCaller(name, named) && !name.equals(HttpHeaders.ContentLength, ignoreCase = true)) {
                for (value in values) to.append(name, value, safeOnly = false)
            }
        }
        to.append(Own.REQUEST_ID, id.value)
    }

    private class Whole(
        override val status: HttpStatusCode,
        private val body: ByteArray,
        type: String?,
    ) : OutgoingContent.ByteArrayContent() {
        override val contentLength: Long = body.size.toLong()
        override val headers: Headers =
            if (type == null) Headers.Empty else io.ktor.http.headersOf(HttpHeaders.ContentType, type)

        override fun bytes(): ByteArray = body
    }

    private class Bodiless(
        override val status: HttpStatusCode,
        override val contentLength: Long?,
    ) : OutgoingContent.NoContent()

    private inner class Streamed(
        override val status: HttpStatusCode,
        private val answer: UpstreamAnswer,
    ) : OutgoingContent.WriteChannelContent() {
        override val contentLength: Long? = answer.length

        override suspend fun writeTo(channel: ByteWriteChannel) {
            val buffer = ByteArray(BUFFER_BYTES)
            var total = 0L
            while (true) {
                val read =
                    try {
                        answer.body.readAvailable(buffer, 0, buffer.size)
                    } catch (e: java.io.IOException) {
                        throw AnswerCut(e)
                    }
                if (read < 0) break
                channel.writeFully(buffer, 0, read)
                channel.flush()
                metrics.answerBytes(read.toLong())
                total += read
            }
            if (answer.body.closedCause != null) throw AnswerCut(answer.body.closedCause)
            if (answer.length != null && total != answer.length) throw AnswerCut(null)
        }
    }

    private companion object {
        const val JSON_TYPE = "application/json"
        const val BUFFER_BYTES = 16 * 1024

        /** An answer up to this size is read whole first, so that one that is cut never reaches the caller at all. */
        const val WHOLE_BYTES = 64 * 1024L
        val BODILESS = setOf(204, 304)
    }
}
