package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.StoredAnswer
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.OutboundRequest
import io.poplarwood.entry.forward.RequestBody
import io.poplarwood.entry.forward.UpstreamResponse
import io.poplarwood.entry.metrics.EntryMetrics
import kotlin.time.Duration

/**
 * The attempts of one call.
 *
 * @param hasIdempotencyKey whether small answers are kept for resends in place of being passed on at once
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
    private var storedAnswer: StoredAnswer? = null

    /** True once the head of an answer went to the caller, after which no further attempt may answer. */
    var committed: Boolean = false
        private set

    /** Takes in the body as far as it must be before the decisions see the call. Throws [RequestBodyException]. */
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

    /** Sends the request as [dispatch] says and hands the answer to the caller. */
    suspend fun attempt(dispatch: Command.Dispatch): AttemptEvidence {
        // An answer that was cut after its head cannot be given again; the call ends as if its caller had gone.
        if (committed) return AttemptEvidence(AttemptResult.CANCELLED, Duration.ZERO)
        dispatch.retry?.let(metrics::countRetry)
        val evidence =
            forwarder.send(outboundRequest(dispatch)) { deliver(it) }
        metrics.countAttempt(evidence.result)
        return evidence
    }

    /**
     * The answer to give in place of the upstream's, which [refusal] names: a body that failed decides over what the
     * decisions saw. Once part of the body was handed to a connection the request may have run.
     */
    fun finalRefusal(refusal: Refusal?): Refusal? {
        val failure = reader?.failure ?: return refusal
        metrics.countRefusal(failure.refusal.reason)
        return if (uploadStarted) Refusal(RefusalReason.CONNECTION_LOST) else failure.refusal
    }

    /** The body when it is at hand, empty when there is none; null when it is still arriving. */
    fun bufferedBody(): ByteArray? = when (val requestBody = body) {
        RequestBody.None -> ByteArray(0)
        is RequestBody.Buffered -> requestBody.bytes
        is RequestBody.Streaming -> null
    }

    /** Headers of the request that go beyond this connection. */
    fun endToEndHeaders(): List<Pair<String, String>> {
        val connectionOptions = HopHeaders.connectionOptions(call.request.headers.getAll(HttpHeaders.Connection))
        val headers = ArrayList<Pair<String, String>>()
        call.request.headers.forEach { name, values ->
            if (HopHeaders.passesToUpstream(name, connectionOptions)) values.forEach { headers += name to it }
        }
        return headers
    }

    /** How the call ended, as resends of its key see it. */
    fun outcome(refusal: Refusal?): KeyOutcome = outcomeOf(refusal, storedAnswer, committed)

    private suspend fun deliver(response: UpstreamResponse) {
        // The answer to a request with a key is read first, so that it is not lost with its caller.
        storedAnswer = if (hasIdempotencyKey) StoredAnswerReader.readIfSmall(response) else null
        if (storedAnswer == null) writer.pass(call, response, inbound.call.request, exchange) { committed = true }
    }

    private fun outboundRequest(dispatch: Command.Dispatch): OutboundRequest {
        val host = call.request.headers[HttpHeaders.Host].orEmpty()
        return inbound.toOutbound(dispatch, endToEndHeaders(), host, body, ticker.now())
    }
}
