package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.Answer
import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.HopHeaders
import kotlin.time.Duration

/** What the attempts of one request have shown so far, and what its caller may therefore be told. */
internal class ExecutionEvidence {
    /** Whether an upstream may have run it. */
    var mayHaveRun = false

    /** An upstream's own answer that failed; passed on when no attempt brings a better one. */
    var failure: AttemptResult.Answered? = null

    /** The end with an upstream's own answer. */
    fun pass(result: AttemptResult.Answered): RequestResult {
        // These statuses promise that nothing ran, which the upstream did not say.
        if (result.status in PROMISES) return unknown(Outcome.LOST)
        HopHeaders.strip(result.headers)
        return RequestResult(Outcome.ANSWERED, Answer(result.status, result.headers, result.body))
    }

    /** The end with a refusal, if it is known that nothing ran. */
    fun refuse(outcome: Outcome, retryAfter: Duration): RequestResult {
        failure?.let { return pass(it) }
        if (mayHaveRun) return unknown(Outcome.LOST)
        return RequestResult(outcome, RequestHandler.refusal(outcome, retryAfter))
    }

    /** The end with an answer that promises nothing. */
    fun unknown(outcome: Outcome): RequestResult = RequestResult(outcome, RequestHandler.refusal(outcome))

    private companion object {
        val PROMISES = setOf(408, 421, 429, 503)
    }
}
