package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Identifies a request of a caller at the entry that received the request. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
