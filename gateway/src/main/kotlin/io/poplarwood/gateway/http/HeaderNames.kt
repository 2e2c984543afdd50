package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.poplarwood.gateway.upstream.UpstreamNotice

/**
 * Names of the headers that an entry reads or sets, as callers and upstreams spell them.
 *
 * @property requestId id of one request of one caller; upstreams echo it
 * @property deadlineMs milliseconds that remain until the deadline of the request
 * @property expectedUpstream id of the only upstream that may run the request
 * @property upstreamId id of the upstream that answers a health check
 * @property signature the upstream's proof that it generated the response
 * @property notExecuted present on responses of upstreams that did not run the request
 * @property draining present on responses of upstreams that are about to stop
 * @property rateLimit requests per second that the upstream accepts from all entries together
 * @property load load of the upstream at the time of its response
 */
data class HeaderNames(
    val requestId: String,
    val deadlineMs: String,
    val expectedUpstream: String,
    val upstreamId: String,
    val signature: String,
    val notExecuted: String,
    val draining: String,
    val rateLimit: String,
    val load: String,
) {
    /** What an upstream announces about itself in the [headers] of a response with [status]. */
    internal fun parseNotice(status: Int, headers: HttpHeaders): UpstreamNotice =
        UpstreamNotice.of(
            status,
            headers[draining],
            headers.getAll(HttpHeaderNames.RETRY_AFTER),
            headers.getAll(rateLimit),
        )
}
