package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpHeaders
import io.poplarwood.gateway.relay.Hop
import kotlin.time.Duration

/**
 * One complete request of a caller.
 *
 * @property target path and query as sent
 * @property headers end-to-end headers
 * @property id id that the caller gave to the request; null if it gave none
 * @property callerAddress IP address of the caller
 * @property arrivedAt when the head of the request was received, as a reading of the entry's ticker
 * @property timeout how long the caller waits, counted from [arrivedAt]; null if the caller does not say
 * @property hop what another entry passed on that sent the request here; null for a request of a caller
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
    val hop: Hop? = null,
) {
    /** Hash of caller address, method, host, target and body; equal for repeated requests with different ids. */
    val fingerprint: Long by lazy(LazyThreadSafetyMode.NONE) { hop?.fingerprint ?: hash() }

    /** When the caller stops waiting, or the route's [timeout] has passed, as a reading of the entry's ticker. */
    fun deadline(timeout: Duration): Duration = arrivedAt + minOf(this.timeout ?: timeout, timeout)

    private fun hash(): Long {
        var hash = callerAddress.hashCode().toLong()
        hash = hash * PRIME + method.hashCode()
        hash = hash * PRIME + host.hashCode()
        hash = hash * PRIME + target.hashCode()
        return hash * PRIME + body.contentHashCode()
    }

    private companion object {
        const val PRIME = 1_000_003L
    }
}
