package io.poplarwood.entry.http

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.poplarwood.api.http.Headers
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.forward.Outbound
import io.poplarwood.entry.forward.RequestBody
import io.poplarwood.entry.metrics.EntryMetrics
import kotlin.time.Duration

/** The attempts of one call. */
internal class CallAttempts(
    private val call: ApplicationCall,
    private val inbound: Inbound,
    private val exchange: CallerExchange,
    private val reader: BodyReader?,
    private val forwarder: Forwarder,
    private val writer: AnswerWriter,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
) {
    private val awaitsContinue = call.request.headers[HttpHeaders.Expect].equals("100-continue", ignoreCase = true)
    private var body: RequestBody = RequestBody.None
    private var handed = false

    /** True once the head of an answer went to the caller, after which no further attempt may answer. */
    var committed: Boolean = false
        private set

    /** Takes in the body as far as it must be before the decisions see the call. Throws [BodyFailure]. */
    suspend fun prepare() {
        val bodyReader = reader ?: return
        if (inbound.call.replayable) {
            if (awaitsContinue) exchange.sendContinue()
            body = RequestBody.Kept(bodyReader.whole())
            return
        }
        if (!awaitsContinue) bodyReader.awaitStart()
        body =
            RequestBody.Arriving(inbound.bodyLength) { channel, progress ->
                handed = true
                if (awaitsContinue) exchange.sendContinue()
                bodyReader.copyTo(channel, progress)
            }
    }

    /** Sends the request as [dispatch] says and hands the answer to the caller. */
    suspend fun attempt(dispatch: Command.Dispatch): AttemptEvidence {
        // An answer that was cut after its head cannot be given again; the call ends as if its caller had gone.
        if (committed) return AttemptEvidence(AttemptResult.CANCELLED, Duration.ZERO)
        dispatch.retry?.let(metrics::retried)
        val evidence =
            forwarder.send(outbound(dispatch)) { answer ->
                writer.pass(call, answer, inbound.call.request, exchange) { committed = true }
            }
        metrics.attempted(evidence.result)
        return evidence
    }

    /**
     * The answer to give in place of the upstream's, which [refusal] names: a body that failed decides over what the
     * decisions saw. Once part of the body was handed to a connection the request may have run.
     */
    fun finalRefusal(refusal: Refusal?): Refusal? {
        val failure = reader?.failure ?: return refusal
        metrics.refused(failure.refusal.reason)
        return if (handed) Refusal(RefusalReason.CONNECTION_LOST) else failure.refusal
    }

    private fun outbound(dispatch: Command.Dispatch): Outbound {
        val remaining = (inbound.call.deadline - ticker.now()).inWholeMilliseconds.coerceAtLeast(0)
        val named = HopHeaders.named(call.request.headers.getAll(HttpHeaders.Connection))
        val headers = ArrayList<Pair<String, String>>()
        call.request.headers.forEach { name, values ->
            if (HopHeaders.passesToUpstream(name, named)) values.forEach { headers += name to it }
        }
        headers += Headers.SERVICE to inbound.service.value
        headers += Headers.CLASS to inbound.workClass.name.value
        headers += Headers.DEADLINE_MS to remaining.toString()
        headers += Headers.DEPTH to (inbound.depth + 1).toString()
        headers += Headers.RETRY to "no"
        headers += Headers.RANK to inbound.rank
        headers += Headers.REQUEST_ID to inbound.call.request.value
        return Outbound(
            address = dispatch.upstream.address,
            method = inbound.method,
            target = inbound.target,
            host = call.request.headers[HttpHeaders.Host].orEmpty(),
            headers = headers,
            body = body,
            recentOnly = !inbound.call.idempotent,
            latencyKey = "${inbound.service}/${inbound.workClass.name}",
            deadline = inbound.call.deadline,
        )
    }
}
