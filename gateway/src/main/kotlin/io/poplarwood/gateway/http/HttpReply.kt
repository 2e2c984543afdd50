package io.poplarwood.gateway.http

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * Complete reply to one of the entry's own HTTP calls.
 *
 * @property connectedAt when the connection on which it came was opened, as a reading of the entry's ticker
 */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
    val connectedAt: Duration = Duration.INFINITE,
)
