package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.CallerResponse
import io.poplarwood.gateway.http.HopByHopHeaders
import kotlin.time.Duration

/**
 * What the attempts of one request have shown so far. Decides whether its caller may be told that the request has not
 * run.
 */
internal class ExecutionEvidence {
    /** Whether an upstream may have run the request. */
    var mayHaveRun = false

    /** An upstream's own answer with a server error; forwarded when no attempt brings a better one. */
    var failure: AttemptResult.Answered? = null

    /** Forwards an upstream's own answer. */
    fun forward(result: AttemptResult.Answered): RequestResult {
        // Callers take these statuses to mean that the request has not run, which the upstream did not state.
        if (result.status in NOT_RUN_STATUSES) return uncertain(Outcome.LOST)
        HopByHopHeaders.strip(result.headers)
        return RequestResult(Outcome.ANSWERED, CallerResponse(result.status, result.headers, result.body))
    }

    /** Refuses the request if it is known not to have run, with the time after which the caller may retry. */
    fun refuse(outcome: Outcome, retryAfter: Duration): RequestResult {
        failure?.let { return forward(it) }
        if (mayHaveRun) return uncertain(Outcome.LOST)
        return RequestResult(outcome, RequestHandler.refusal(outcome, retryAfter))
    }

    /** Answers without a guarantee on whether the request has run. */
    fun uncertain(outcome: Outcome): RequestResult = RequestResult(outcome, RequestHandler.refusal(outcome))

    private companion object {
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
