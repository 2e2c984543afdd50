package io.poplarwood.peer.message

import kotlinx.serialization.Serializable

/** Status and headers of the response to a forwarded request. */
@Serializable
data class ForwardResponseHead(val status: Int, val headers: List<HeaderLine>)
