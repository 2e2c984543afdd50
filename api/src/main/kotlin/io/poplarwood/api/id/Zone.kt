package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Name of an availability zone. */
@JvmInline
@Serializable
value class Zone(val value: String) {
    override fun toString(): String = value
}
