package io.poplarwood.entry.http

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.work.ClassSpec
import io.poplarwood.decision.dispatch.Call

/**
 * A caller's request after its head was accepted.
 *
 * @property depth level of the request within its chain of calls, 0 for the first
 * @property rank wire name of the request's rank
 * @property bodyLength declared length of the body in bytes; null for a chunked body, 0 when there is none
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
    /** The request with [body] added to its fingerprint; unchanged when there is no body or it is null (streamed). */
    fun withBody(body: ByteArray?): InboundRequest {
        if (body == null || body.isEmpty()) return this
        val identified = call.copy(fingerprint = RequestFingerprint.withBody(call.fingerprint, body))
        return InboundRequest(service, workClass, identified, method, target, depth, rank, bodyLength)
    }
}
