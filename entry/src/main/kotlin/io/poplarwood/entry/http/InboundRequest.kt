package io.poplarwood.entry.http

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.decision.dispatch.Call

/**
 * A caller's request after its head was accepted.
 *
 * @property bodyLength declared length of the body; null when it comes in chunks, 0 when there is none
 * @property retryable whether this entry is the level that retries
 */
internal class InboundRequest(
    val service: ServiceName,
    val workClass: ClassSpec,
    val call: Call,
    val method: String,
    val target: String,
    val depth: Int,
    val rank: String,
    val bodyLength: Long?,
) {
    /** The same request once its whole [body] is known, which tells it from others to the same target. */
    fun withBody(body: ByteArray?): InboundRequest {
        if (body == null || body.isEmpty()) return this
        val identified = call.copy(fingerprint = RequestFingerprint.withBody(call.fingerprint, body))
        return InboundRequest(service, workClass, identified, method, target, depth, rank, bodyLength)
    }
}
