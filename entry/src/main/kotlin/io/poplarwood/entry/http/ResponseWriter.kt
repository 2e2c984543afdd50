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
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.UpstreamResponse
import io.poplarwood.entry.log.EventLog
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.api.http.Headers as PoplarwoodHeaders

/** Writes responses to callers. */
internal class ResponseWriter(private val metrics: EntryMetrics, private val log: EventLog) {
    /** Sends [refusal] as the response to [call]. */
    suspend fun refuse(call: ApplicationCall, refusal: Refusal, id: RequestId) {
        val reply = RefusalResponse(refusal, id)
        for ((name, value) in reply.headers) call.response.headers.append(name, value, safeOnly = false)
        val status = HttpStatusCode.fromValue(reply.status)
        val head = call.request.httpMethod.value == HEAD
        call.respond(
            if (head) BodilessResponse(status, reply.body.size.toLong()) else BufferedResponse(status, reply.body),
        )
    }

    /**
     * Sends [response] to the caller; calls [beforeHead] immediately before its head is sent.
     *
     * Throws [TruncatedResponseException] when the response ends early. If its head was already sent, the connection of
     * [exchange] is closed first.
     */
    suspend fun pass(
        call: ApplicationCall,
        response: UpstreamResponse,
        id: RequestId,
        exchange: CallerExchange,
        beforeHead: () -> Unit,
    ) {
        val status = HttpStatusCode(response.status, "")
        val length = response.length
        val content =
            when {
                call.request.httpMethod.value == HEAD || response.status in BODILESS -> BodilessResponse(status, length)
                length != null && length <= MAX_BUFFERED_BYTES ->
                    BufferedResponse(status, readBody(response, length.toInt()))
                else -> StreamedResponse(status, response, exchange, metrics, log)
            }
        beforeHead()
        copyHeaders(response.headers, call.response.headers)
        call.response.headers.append(PoplarwoodHeaders.REQUEST_ID, id.value)
        call.respond(content)
    }

    /** Sends the stored [response] of an earlier request with the same idempotency key. */
    suspend fun replay(call: ApplicationCall, response: StoredResponse, id: RequestId) {
        for (h in response.headers) call.response.headers.append(h.name, h.value, safeOnly = false)
        call.response.headers.append(PoplarwoodHeaders.REQUEST_ID, id.value)
        val status = HttpStatusCode(response.status, "")
        metrics.addResponseBytes(response.body.size.toLong())
        val bodiless = response.status in BODILESS
        call.respond(if (bodiless) BodilessResponse(status, null) else BufferedResponse(status, response.body))
    }

    private suspend fun readBody(response: UpstreamResponse, length: Int): ByteArray {
        val bytes = ByteArray(length)
        var offset = 0
        while (offset < length) {
            val read = response.body.readAvailable(bytes, offset, length - offset)
            if (read < 0) throw TruncatedResponseException(response.body.closedCause)
            offset += read
        }
        metrics.addResponseBytes(length.toLong())
        return bytes
    }

    private fun copyHeaders(from: Headers, to: ResponseHeaders) {
        val connectionOptions = HopHeaders.connectionOptions(from.getAll(HttpHeaders.Connection))
        from.forEach { name, values ->
            if (HopHeaders.passesToCaller(name, connectionOptions)) {
                for (value in values) to.append(name, value, safeOnly = false)
            }
        }
    }

    private companion object {
        const val HEAD = "HEAD"

        /** A response up to this size is read before its head is sent, so that a truncated one can still be retried. */
        const val MAX_BUFFERED_BYTES = 64 * 1024L
        val BODILESS = setOf(204, 304)
    }
}
