package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * The final answer to a caller.
 *
 * @property headers end-to-end headers; null for an answer of the entry itself
 * @property close the connection takes no further request
 */
internal class Answer(
    val status: Int,
    val headers: HttpHeaders?,
    val body: ByteArray,
    val retryAfter: kotlin.time.Duration? = null,
    val close: Boolean = false,
)
