package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * One whole request of a caller.
 *
 * @property target path and query as sent
 * @property headers without those that concern one connection only
 * @property caller address of the caller, without its port
 * @property arrived when its head was read
 * @property patience time that the caller waits from then on; null when it does not say
 */
internal class CallerRequest(
    val method: String,
    val target: String,
    val host: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val id: String?,
    val caller: String,
    val arrived: Duration,
    val patience: Duration?,
) {
    /** Distinguishes requests by who sends what where, whatever their id. */
    val fingerprint: Long by lazy(LazyThreadSafetyMode.NONE) {
        var hash = caller.hashCode().toLong()
        hash = hash * PRIME + method.hashCode()
        hash = hash * PRIME + host.hashCode()
        hash = hash * PRIME + target.hashCode()
        hash * PRIME + body.contentHashCode()
    }

    private companion object {
        const val PRIME = 1_000_003L
    }
}
