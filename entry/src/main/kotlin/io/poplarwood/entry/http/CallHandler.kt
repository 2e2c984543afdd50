package io.poplarwood.entry.http

import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
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
import io.poplarwood.entry.runtime.CallRunner
import kotlin.time.Duration

/** Takes one request of a caller from its head to its final answer. */
internal class CallHandler(
    private val reader: RequestReader,
    private val runners: (ServiceName) -> CallRunner?,
    private val forwarder: Forwarder,
    private val writer: AnswerWriter,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
    private val requestIds: () -> RequestId,
) {
    /** Answers [call]. */
    suspend fun handle(call: ApplicationCall) {
        val id = requestIds()
        val inbound =
            reader.read(call.request, id).getOrElse {
                refuse(call, it, id)
                return
            }
        val runner = runners(inbound.service)
        if (runner == null) {
            refuse(call, Refusal(RefusalReason.UNKNOWN_SERVICE), id)
            return
        }
        metrics.started()
        try {
            run(call, inbound, runner, id)
        } finally {
            metrics.ended()
        }
    }

    private suspend fun run(
        call: ApplicationCall,
        inbound: Inbound,
        runner: CallRunner,
        id: RequestId,
    ) {
        val attempts = CallAttempts(call, inbound, id)
        val body =
            try {
                attempts.body()
            } catch (e: BodyFailure) {
                refuse(call, e.refusal, id)
                return
            }
        val refusal = runner.run(inbound.call) { attempts.attempt(it, body) }
        val took = ticker.now() - inbound.call.arrived
        val outcome = refusal?.reason?.kind?.wire ?: ANSWERED
        metrics.finished(inbound.service.value, inbound.workClass.name.value, outcome, took)
        if (refusal != null && !attempts.committed) refuse(call, refusal, id)
    }

    private suspend fun refuse(call: ApplicationCall, refusal: Refusal, id: RequestId) {
        metrics.refused(refusal.reason)
        writer.refuse(call, refusal, id)
    }

    /** The attempts of one call. */
    private inner class CallAttempts(
        private val call: ApplicationCall,
        private val inbound: Inbound,
        private val id: RequestId,
    ) {
        /** True once the head of an answer went to the caller, after which no further attempt may answer. */
        var committed: Boolean = false
            private set

        suspend fun body(): RequestBody {
            val length = inbound.bodyLength
            if (length == 0L) return RequestBody.None
            val reader = BodyReader(call, length, inbound.workClass.maxBodyBytes, metrics)
            if (inbound.call.replayable) return RequestBody.Kept(reader.whole())
            return RequestBody.Arriving(length) { reader.copyTo(it) }
        }

        suspend fun attempt(dispatch: Command.Dispatch, body: RequestBody): AttemptEvidence {
            // An answer that was cut after its head cannot be given again; the call ends as if its caller had gone.
            if (committed) return AttemptEvidence(AttemptResult.CANCELLED, Duration.ZERO)
            dispatch.retry?.let(metrics::retried)
            val evidence =
                forwarder.send(outbound(dispatch, body)) { answer ->
                    writer.pass(call, answer, id) { committed = true }
                }
            metrics.attempted(evidence.result.name.lowercase())
            return evidence
        }

        private fun outbound(dispatch: Command.Dispatch, body: RequestBody): Outbound {
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
            headers += Headers.REQUEST_ID to id.value
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

    private companion object {
        const val ANSWERED = "answered"
    }
}
