package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** Name of an entry from the entry's settings, unique within the cell; letters, digits and hyphens only. */
@JvmInline
@Serializable
value class EntryId(val value: String) : Comparable<EntryId> {
    override fun compareTo(other: EntryId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
