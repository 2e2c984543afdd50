package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Name of a class of work, unique within its service. */
@JvmInline
@Serializable
value class ClassName(val value: String) {
    override fun toString(): String = value
}
