package io.poplarwood.gateway.relay

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.CallerResponse
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.runtime.Outcome
import io.poplarwood.gateway.runtime.RequestHandler
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves requests that other entries send on because they cannot reach upstreams.
 *
 * A reply of this entry's own says whether the request was run, as an upstream's does, so that the first entry can keep
 * its promise to the caller.
 *
 * @param isBusy whether this entry has enough to do with its own callers
 */
internal class RelayReplies(
    private val names: HeaderNames,
    private val isBusy: () -> Boolean,
    private val serve: suspend (CallerRequest) -> CallerResponse,
) {
    /** The reply to [request], which must have come by a hop. */
    suspend fun reply(request: CallerRequest): CallerResponse {
        val refusal = when {
            request.hop == null -> Outcome.NO_ROUTE
            isBusy() -> Outcome.FULL
            else -> null
        }
        val answer = refusal?.let { RequestHandler.refusal(it, BUSY_RETRY_AFTER) } ?: serve(request)
        return if (answer.headers == null) marked(request, answer) else answer
    }

    private fun marked(request: CallerRequest, answer: CallerResponse): CallerResponse {
        val headers = DefaultHttpHeaders()
        request.id?.let { headers.set(names.requestId, it) }
        if (answer.status in NOT_RUN_STATUSES) headers.set(names.notExecuted, "1")
        return CallerResponse(answer.status, headers, answer.body, answer.retryAfter, answer.close)
    }

    private companion object {
        /** This code's own statuses for requests that have not run. */
        val NOT_RUN_STATUSES = setOf(404, 503)
        val BUSY_RETRY_AFTER = 50.milliseconds
    }
}
