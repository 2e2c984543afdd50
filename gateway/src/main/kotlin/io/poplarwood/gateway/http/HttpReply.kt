package io.poplarwood.gateway.http

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * Complete reply to one of the entry's own HTTP calls.
 *
 * Times are readings of the entry's ticker.
 *
 * @property connectedAt when the connection on which it came was opened
 * @property earlierCallSentAt when the call before this one was sent on that connection; null if this was the first. An
 * other side that answers calls twice may have sent this reply as the second one to the earlier call, at any time since
 */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
    val connectedAt: Duration = Duration.INFINITE,
    val earlierCallSentAt: Duration? = null,
)
