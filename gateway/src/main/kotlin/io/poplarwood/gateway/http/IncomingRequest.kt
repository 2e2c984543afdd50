package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.poplarwood.gateway.relay.RelayHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request of a caller from the receipt of its head to its response.
 *
 * @property reservedBytes bytes of [BodyMemoryBudget] that are reserved for the body
 * @property arrivedAt when the head was received, as a reading of the entry's ticker
 */
internal class IncomingRequest(private val head: HttpRequest, var reservedBytes: Long, val arrivedAt: Duration) {
    val method: String = head.method().name()
    val host: String = head.headers()[HttpHeaderNames.HOST].orEmpty()
    val target: String = head.uri()
    val keepAlive: Boolean = HttpUtil.isKeepAlive(head)
    val body = BodyBuffer(reservedBytes.coerceIn(0, Int.MAX_VALUE.toLong()).toInt())

    /**
     * The complete request, without hop-by-hop headers, `Expect` and the id of the expected upstream, which only an
     * entry may set.
     *
     * @param fromEntry whether another entry sent the request, with the headers of a hop
     */
    fun toCallerRequest(names: HeaderNames, callerAddress: String, fromEntry: Boolean): CallerRequest {
        val headers = head.headers()
        val id = headers[names.requestId]
        val timeout = headers[names.deadlineMs]?.toLongOrNull()?.takeIf { it >= 0 }?.milliseconds
        HopByHopHeaders.strip(headers)
        headers.remove(HttpHeaderNames.EXPECT)
        headers.remove(names.expectedUpstream)
        val hop = if (fromEntry) RelayHeaders.take(headers) else null
        return CallerRequest(method, target, host, headers, body.bytes(), id, callerAddress, arrivedAt, timeout, hop)
    }
}
