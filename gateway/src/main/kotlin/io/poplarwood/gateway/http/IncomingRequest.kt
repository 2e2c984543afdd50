package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of a caller while its body arrives; [reserved] bytes of the memory for bodies are set aside for it. */
internal class IncomingRequest(private val head: HttpRequest, var reserved: Long, val arrived: Duration) {
    val method: String = head.method().name()
    val host: String = head.headers()[HttpHeaderNames.HOST].orEmpty()
    val target: String = head.uri()
    val keepAlive: Boolean = HttpUtil.isKeepAlive(head)
    val body = BodyBuffer(reserved.coerceIn(0, Int.MAX_VALUE.toLong()).toInt())

    /** The request as the decisions see it. */
    fun toCall(names: HeaderNames, caller: String): CallerRequest {
        val headers = head.headers()
        val id = headers[names.requestId]
        val patience = headers[names.deadlineMs]?.toLongOrNull()?.takeIf { it >= 0 }?.milliseconds
        HopHeaders.strip(headers)
        headers.remove(HttpHeaderNames.EXPECT)
        headers.remove(names.expectUpstream)
        return CallerRequest(method, target, host, headers, body.bytes(), id, caller, arrived, patience)
    }
}
