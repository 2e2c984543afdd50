package io.poplarwood.entry.http

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.once.IssuedKey
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.KeyedRequest
import io.poplarwood.decision.once.KeyedRequestActions
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.entry.forward.Forwarder
import io.poplarwood.entry.forward.RequestBody
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.once.KeyService
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.peer.message.ForwardHead
import io.poplarwood.api.http.Headers as PoplarwoodHeaders

/** Runs requests that peers forward because this entry owns their idempotency keys. */
internal class ForwardedCalls(
    private val reader: RequestReader,
    private val runners: (ServiceName) -> CallRunner?,
    private val forwarder: Forwarder,
    private val ticker: Ticker,
    private val metrics: EntryMetrics,
    private val keys: KeyService,
) {
    /** Runs the request of [head] with its complete [body]. */
    suspend fun serve(head: ForwardHead, body: ByteArray): KeyOutcome {
        val inbound = reader.readForwarded(head, body).getOrElse { return KeyOutcome.Refused(it.reason) }.withBody(body)
        val runner = runners(head.service) ?: return KeyOutcome.Refused(RefusalReason.UNKNOWN_SERVICE)
        val key =
            headerValue(head, PoplarwoodHeaders.IDEMPOTENCY_KEY) ?: return KeyOutcome.Refused(RefusalReason.MALFORMED)
        val claim = headerValue(head, CLAIM_HEADER)?.let(IssuedKey::parse)
        val request = KeyedRequest(key, head.service.value, inbound.call.fingerprint, claim, forwarded = true)
        return keys.handle(request, LocalPorts(head, inbound, body, runner))
    }

    private fun headerValue(head: ForwardHead, name: String): String? =
        head.headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    private inner class LocalPorts(
        private val head: ForwardHead,
        private val inbound: InboundRequest,
        private val body: ByteArray,
        private val runner: CallRunner,
    ) : KeyedRequestActions {
        private var storedAnswer: StoredResponse? = null
        private var hasResponse = false

        override suspend fun run(): KeyOutcome {
            val refusal = runner.run(inbound.call) { attempt(it) }
            return outcomeOf(refusal, storedAnswer, hasResponse)
        }

        override suspend fun forward(owner: EntryRef, request: KeyedRequest): KeyOutcome =
            KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)

        private suspend fun attempt(dispatch: Command.Dispatch): AttemptObservation {
            dispatch.retry?.let(metrics::countRetry)
            val headers = head.headers.filter { it.name != CLAIM_HEADER && it.name != PoplarwoodHeaders.CLASS }.map {
                it.name to
                    it.value
            }
            val requestBody = if (body.isEmpty()) RequestBody.None else RequestBody.Buffered(body)
            val outbound = inbound.toOutbound(dispatch, headers, head.service.value, requestBody, ticker.now())
            val evidence = forwarder.send(outbound) {
                storedAnswer = StoredAnswerReader.readIfSmall(it)
                hasResponse = true
            }
            metrics.countAttempt(evidence.result)
            return evidence
        }
    }

    companion object {
        /** Header of a forwarded request with the claim of its idempotency key; never sent to an upstream. */
        const val CLAIM_HEADER: String = "Poplarwood-Claim"
    }
}
