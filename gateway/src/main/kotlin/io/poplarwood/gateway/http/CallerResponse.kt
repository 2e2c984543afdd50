package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * The final response to a caller.
 *
 * @property headers end-to-end headers; null for a response that the entry itself generated
 * @property close whether to close the caller's connection after this response, unless pipelined requests after it have
 *   been started
 */
internal class CallerResponse(
    val status: Int,
    val headers: HttpHeaders?,
    val body: ByteArray,
    val retryAfter: kotlin.time.Duration? = null,
    val close: Boolean = false,
)
