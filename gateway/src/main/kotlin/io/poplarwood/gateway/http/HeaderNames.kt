package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.poplarwood.gateway.upstream.UpstreamNotice

/**
 * Names of the headers that the system reads or sets, as callers and upstreams spell them.
 *
 * @property requestId identifies one request of one caller; upstreams echo it
 * @property deadlineMs milliseconds that the caller, or the upstream, has left
 * @property expectUpstream id of the only upstream that may run the request
 * @property upstreamId id of the upstream that answers a health check
 * @property signature the upstream's proof that it made the answer
 * @property notExecuted on answers of upstreams that did not run the request
 * @property leaving on answers of upstreams that are about to leave
 * @property load load of the upstream at the time of its answer
 */
data class HeaderNames(
    val requestId: String,
    val deadlineMs: String,
    val expectUpstream: String,
    val upstreamId: String,
    val signature: String,
    val notExecuted: String,
    val leaving: String,
    val load: String,
) {
    /** What an upstream says of itself in the [headers] of an answer with [status]. */
    internal fun noticeOf(status: Int, headers: HttpHeaders): UpstreamNotice =
        UpstreamNotice.of(status, headers[leaving], headers.getAll(HttpHeaderNames.RETRY_AFTER))
}
