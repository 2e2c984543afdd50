package io.poplarwood.peer.message

import io.poplarwood.api.id.RequestId
import io.poplarwood.api.id.ServiceName
import kotlinx.serialization.Serializable

/**
 * Request line and headers of a forwarded request.
 *
 * @property remainingMs time left until the caller's deadline when the request was forwarded, in milliseconds
 */
@Serializable
data class ForwardHead(
    val requestId: RequestId,
    val service: ServiceName,
    val method: String,
    val target: String,
    val headers: List<HeaderLine>,
    val remainingMs: Long,
)
