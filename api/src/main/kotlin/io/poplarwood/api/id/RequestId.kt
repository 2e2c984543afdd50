package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Identifies one request of one caller at the entry that received it. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
