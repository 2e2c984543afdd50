package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration

/** Encodes requests to upstreams as HTTP messages. */
internal object UpstreamRequestEncoding {
    private val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "DELETE", "OPTIONS")

    /** Encodes [outbound], which is sent at [now], with the time that is left until its deadline. */
    fun encode(outbound: UpstreamRequest, names: HeaderNames, now: Duration): DefaultFullHttpRequest {
        val request = outbound.request
        val content = Unpooled.wrappedBuffer(request.body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod(request.method), request.target, content)
        val headers = message.headers()
        headers.set(request.headers)
        headers.set(HttpHeaderNames.HOST, request.host)
        headers.set(names.deadlineMs, (outbound.deadline - now).inWholeMilliseconds.coerceAtLeast(1))
        outbound.expectedUpstream?.let { headers.set(names.expectedUpstream, it) }
        outbound.extraHeaders.forEach { (name, values) -> headers.set(name, values) }
        val omitContentLength = request.body.isEmpty() && request.method in METHODS_WITHOUT_BODY
        if (omitContentLength) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        } else {
            HttpUtil.setContentLength(message, content.readableBytes().toLong())
        }
        return message
    }
}
