package io.poplarwood.api.id

import kotlinx.serialization.Serializable

/** One run of one entry, as named in issued idempotency keys, slot leases and membership rows. */
@Serializable
data class EntryRef(val id: EntryId, val incarnation: Incarnation) {
    override fun toString(): String = "$id.$incarnation"
}
