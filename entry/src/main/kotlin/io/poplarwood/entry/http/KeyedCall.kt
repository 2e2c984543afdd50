package io.poplarwood.entry.http

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.http.Headers
import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.time.Ticker
import io.poplarwood.decision.once.KeyOutcome
import io.poplarwood.decision.once.KeyedRequest
import io.poplarwood.decision.once.KeyedRequestActions
import io.poplarwood.decision.once.StoredResponse
import io.poplarwood.entry.once.KeyService
import io.poplarwood.entry.runtime.CallRunner
import io.poplarwood.peer.message.ForwardHead
import io.poplarwood.peer.message.HeaderLine

/** A caller's request with an idempotency key, run here or forwarded to the entry incarnation that owns the key. */
internal class KeyedCall(
    private val inbound: InboundRequest,
    private val attempts: CallAttempts,
    private val runner: CallRunner,
    private val keys: KeyService,
    private val ticker: Ticker,
) : KeyedRequestActions {
    private var refusal: Refusal? = null

    /** Runs or forwards the request. The caller receives the outcome unless the response was streamed to it already. */
    suspend fun handle(key: String): KeyOutcome {
        val call = inbound.call
        return keys.handle(KeyedRequest(key, inbound.service.value, call.fingerprint), this)
    }

    /** The refusal for [reason], with the retry delay if this entry's dispatcher set one. */
    fun refusal(reason: RefusalReason): Refusal = refusal?.takeIf { it.reason == reason } ?: Refusal(reason)

    override suspend fun run(): KeyOutcome {
        refusal = attempts.finalRefusal(runner.run(inbound.call) { attempts.attempt(it) })
        return attempts.outcome(refusal)
    }

    /** Forwards only a request whose body is in memory; for a larger body the caller must address the owner itself. */
    override suspend fun forward(owner: EntryRef, request: KeyedRequest): KeyOutcome {
        val body = attempts.bufferedBody() ?: return UNREACHABLE
        val remaining = inbound.call.deadline - ticker.now()
        val claimHeader = request.claim?.let {
            listOf(HeaderLine(ForwardedCalls.CLAIM_HEADER, it.toString()))
        }.orEmpty()
        val headerLines = attempts.endToEndHeaders().map { (name, value) -> HeaderLine(name, value) }
        val classHeader = HeaderLine(Headers.CLASS, inbound.workClass.name.value)
        val head = ForwardHead(
            inbound.call.request,
            inbound.service,
            inbound.method,
            inbound.target,
            headerLines + classHeader + claimHeader,
            remaining.inWholeMilliseconds,
        )
        return keys.forward(owner, head, body, remaining).getOrElse { UNREACHABLE }
    }

    private companion object {
        val UNREACHABLE = KeyOutcome.Refused(RefusalReason.KEY_OWNER_UNREACHABLE)
    }
}

/** The outcome of a call run at this entry, as resends of its idempotency key receive it. */
internal fun outcomeOf(refusal: Refusal?, storedAnswer: StoredResponse?, streamed: Boolean): KeyOutcome = when {
    storedAnswer != null -> KeyOutcome.Answered(storedAnswer)
    streamed -> KeyOutcome.Answered(null)
    else -> KeyOutcome.Refused(refusal?.reason ?: RefusalReason.CONNECTION_LOST)
}
