package io.poplarwood.peer.message

import kotlinx.serialization.Serializable

/** Head of the answer to a forwarded request. */
@Serializable
data class ForwardAnswerHead(val status: Int, val headers: List<HeaderLine>)
