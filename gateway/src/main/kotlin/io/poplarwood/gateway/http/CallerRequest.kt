package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * One complete request of a caller.
 *
 * @property target path and query as sent
 * @property headers end-to-end headers
 * @property id id that the caller gave to the request; null if it gave none
 * @property callerAddress IP address of the caller
 * @property arrived when the head of the request was received, as a reading of the entry's ticker
 * @property patience how long the caller waits, counted from [arrived]; null if the caller does not say
 */
internal class CallerRequest(
    val method: String,
    val target: String,
    val host: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val id: String?,
    val callerAddress: String,
    val arrivedAt: Duration,
    val timeout: Duration?,
) {
    /** Hash of caller address, method, host, target and body; equal for repeated requests with different ids. */
    val fingerprint: Long by lazy(LazyThreadSafetyMode.NONE) {
        var hash = callerAddress.hashCode().toLong()
        hash = hash * PRIME + method.hashCode()
        hash = hash * PRIME + host.hashCode()
        hash = hash * PRIME + target.hashCode()
        hash * PRIME + body.contentHashCode()
    }

    private companion object {
        const val PRIME = 1_000_003L
    }
}
