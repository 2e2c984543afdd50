package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.DurationUnit

/** Encodes responses to callers as HTTP messages. */
internal object ResponseEncoding {
    /** Encodes [answer] with its body. */
    fun encode(answer: CallerResponse): FullHttpResponse {
        val content = Unpooled.wrappedBuffer(answer.body)
        val status = HttpResponseStatus.valueOf(answer.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        if (answer.headers != null) {
            response.headers().set(answer.headers)
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        }
        answer.retryAfter?.let {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, it.toString(DurationUnit.SECONDS, 2).dropLast(1))
        }
        if (answer.status != NO_CONTENT && answer.status != NOT_MODIFIED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        }
        return response
    }

    /** The interim response 100 (Continue), for a caller that waits for it before it sends the body. */
    fun continueResponse(): FullHttpResponse =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)

    private const val NO_CONTENT = 204
    private const val NOT_MODIFIED = 304
}
