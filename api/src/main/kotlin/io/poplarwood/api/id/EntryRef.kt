package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** One run of one entry: what issued keys, leases and membership rows name. */
@Serializable
data class EntryRef(val id: EntryId, val incarnation: Incarnation) {
    override fun toString(): String = "$id.$incarnation"
}
