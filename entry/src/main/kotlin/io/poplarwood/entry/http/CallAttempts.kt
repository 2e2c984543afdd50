package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.OutboundRequest
import io.poplarwood.entry.forward.RequestBody
import io.poplarwood.entry.forward.UpstreamResponse
import io.poplarwood.entry.metrics.EntryMetrics
import kotlin.time.Duration

/**
 * Runs the attempts of one caller's request.
 *
 * @param hasIdempotencyKey whether a small response is stored for resends of the key instead of being passed on at once
 */
internal class CallAttempts(
    private val call: ApplicationCall,
    private val inbound: InboundRequest,
    private val exchange: CallerExchange,
    private val reader: BodyReader?,
    private val forwarder: Forwarder,
    private val writer: ResponseWriter,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
    private val hasIdempotencyKey: Boolean,
) {
    private val awaitsContinue = call.request.headers[HttpHeaders.Expect].equals("100-continue", ignoreCase = true)
    private var body: RequestBody = RequestBody.None
    private var uploadStarted = false
    private var storedAnswer: StoredResponse? = null

    /** True once the head of a response was sent to the caller; no further attempt may send a response. */
    var committed: Boolean = false
        private set

    /**
     * Reads a body small enough to be sent again into memory; of any other body waits for the first bytes, unless the
     * caller awaits `100 Continue`. Runs before the call is dispatched. Throws [RequestBodyException].
     */
    suspend fun prepare() {
        val bodyReader = reader ?: return
        if (inbound.call.replayable) {
            if (awaitsContinue) exchange.sendContinue()
            body = RequestBody.Buffered(bodyReader.readAll())
            return
        }
        if (!awaitsContinue) bodyReader.awaitFirstBytes()
        body =
            RequestBody.Streaming(inbound.bodyLength) { channel, progress ->
                uploadStarted = true
                if (awaitsContinue) exchange.sendContinue()
                bodyReader.copyTo(channel, progress)
            }
    }

    /** Sends the request to the upstream of [dispatch] and passes the response to the caller. */
    suspend fun attempt(dispatch: Command.Dispatch): AttemptObservation {
        // A response truncated after its head cannot be replaced; the call ends as if its caller had disconnected.
        if (committed) return AttemptObservation(AttemptResult.CANCELLED, Duration.ZERO)
        dispatch.retry?.let(metrics::countRetry)
        val evidence =
            forwarder.send(outboundRequest(dispatch)) { deliver(it) }
        metrics.countAttempt(evidence.result)
        return evidence
    }

    /**
     * The refusal to send to the caller when the dispatcher ended the call with [refusal]; null for none.
     *
     * A failure of the request body takes precedence, since the dispatcher sees only its consequences. Once the upload
     * to an upstream began, the request may have run.
     */
    fun finalRefusal(refusal: Refusal?): Refusal? {
        val failure = reader?.failure ?: return refusal
        metrics.countRefusal(failure.refusal.reason)
        return if (uploadStarted) Refusal(RefusalReason.CONNECTION_LOST) else failure.refusal
    }

    /** The body when it is held in memory, empty when there is none; null when it is streamed. */
    fun bufferedBody(): ByteArray? = when (val requestBody = body) {
        RequestBody.None -> ByteArray(0)
        is RequestBody.Buffered -> requestBody.bytes
        is RequestBody.Streaming -> null
    }

    /** Headers of the request that are not specific to the caller's connection. */
    fun endToEndHeaders(): List<Pair<String, String>> {
        val connectionOptions = HopHeaders.connectionOptions(call.request.headers.getAll(HttpHeaders.Connection))
        val headers = ArrayList<Pair<String, String>>()
        call.request.headers.forEach { name, values ->
            if (HopHeaders.passesToUpstream(name, connectionOptions)) values.forEach { headers += name to it }
        }
        return headers
    }

    /** The outcome that resends of the idempotency key receive. */
    fun outcome(refusal: Refusal?): KeyOutcome = outcomeOf(refusal, storedAnswer, committed)

    private suspend fun deliver(response: UpstreamResponse) {
        // The response to a request with a key is read in full first, so that it survives a disconnect of the caller.
        storedAnswer = if (hasIdempotencyKey) StoredAnswerReader.readIfSmall(response) else null
        if (storedAnswer == null) writer.pass(call, response, inbound.call.request, exchange) { committed = true }
    }

    private fun outboundRequest(dispatch: Command.Dispatch): OutboundRequest {
        val host = call.request.headers[HttpHeaders.Host].orEmpty()
        return inbound.toOutbound(dispatch, endToEndHeaders(), host, body, ticker.now())
    }
}
