package io.poplarwood.peer.message

import kotlinx.serialization.Serializable

/** One HTTP header field. */
@Serializable
data class HeaderLine(val name: String, val value: String)
