package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Name of an entry, unique within its cell; letters, digits and hyphens only, taken from its settings. */
@JvmInline
@Serializable
value class EntryId(val value: String) : Comparable<EntryId> {
    override fun compareTo(other: EntryId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
