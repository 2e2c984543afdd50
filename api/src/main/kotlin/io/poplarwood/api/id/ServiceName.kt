package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Name of a service; letters, digits and hyphens only. */
@JvmInline
@Serializable
value class ServiceName(val value: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
