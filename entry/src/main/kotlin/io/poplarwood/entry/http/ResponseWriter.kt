package io.poplarwood.entry.http

import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.response.ResponseHeaders
import io.ktor.server.response.respond
import io.ktor.utils.io.readAvailable
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.once.StoredAnswer
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.UpstreamResponse
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.api.http.Headers as Own

/** Writes answers to callers. */
internal class ResponseWriter(private val metrics: EntryMetrics, private val log: EventLog) {
    /** Answers with [refusal]. */
    suspend fun refuse(call: ApplicationCall, refusal: Refusal, id: RequestId) {
        val answer = RefusalResponse(refusal, id)
        for ((name, value) in answer.headers) call.response.headers.append(name, value, safeOnly = false)
        val status = HttpStatusCode.fromValue(answer.status)
        val head = call.request.httpMethod.value == HEAD
        call.respond(
            if (head) BodilessResponse(status, answer.body.size.toLong()) else BufferedResponse(status, answer.body),
        )
    }

    /**
     * Passes [answer] on, after [committed]. Throws [TruncatedResponseException] when it ends early; when its head had been sent by
     * then, the connection of [exchange] is closed.
     */
    suspend fun pass(
        call: ApplicationCall,
        answer: UpstreamResponse,
        id: RequestId,
        exchange: CallerExchange,
        committed: () -> Unit,
    ) {
        val status = HttpStatusCode(answer.status, "")
        val length = answer.length
        val content =
            when {
                call.request.httpMethod.value == HEAD || answer.status in BODILESS -> BodilessResponse(status, length)
                length != null && length <= WHOLE_BYTES -> BufferedResponse(status, readWhole(answer, length.toInt()))
                else -> StreamedResponse(status, answer, exchange, metrics, log)
            }
        committed()
        copyHeaders(answer.headers, call.response.headers)
        call.response.headers.append(Own.REQUEST_ID, id.value)
        call.respond(content)
    }

    /** Answers with [answer], which was kept. */
    suspend fun replay(call: ApplicationCall, answer: StoredAnswer, id: RequestId) {
        for (h in answer.headers) call.response.headers.append(h.name, h.value, safeOnly = false)
        call.response.headers.append(Own.REQUEST_ID, id.value)
        val status = HttpStatusCode(answer.status, "")
        metrics.answerBytes(answer.body.size.toLong())
        val bodiless = answer.status in BODILESS
        call.respond(if (bodiless) BodilessResponse(status, null) else BufferedResponse(status, answer.body))
    }

    private suspend fun readWhole(answer: UpstreamResponse, length: Int): ByteArray {
        val bytes = ByteArray(length)
        var at = 0
        while (at < length) {
            val read = answer.body.readAvailable(bytes, at, length - at)
            if (read < 0) throw TruncatedResponseException(answer.body.closedCause)
            at += read
        }
        metrics.answerBytes(length.toLong())
        return bytes
    }

    private fun copyHeaders(from: Headers, to: ResponseHeaders) {
        val named = HopHeaders.named(from.getAll(HttpHeaders.Connection))
        from.forEach { name, values ->
            if (HopHeaders.passesToCaller(name, named)) {
                for (value in values) to.append(name, value, safeOnly = false)
            }
        }
    }

    private companion object {
        const val HEAD = "HEAD"

        /** An answer up to this size is read whole first, so that one that is cut never reaches the caller at all. */
        const val WHOLE_BYTES = 64 * 1024L
        val BODILESS = setOf(204, 304)
    }
}
