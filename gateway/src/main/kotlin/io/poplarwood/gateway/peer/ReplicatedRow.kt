package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.StoredRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One row of the store as entries send it; one that was removed has no [value]. */
@Serializable
internal class ReplicatedRow(
    @SerialName("k") val key: String,
    @SerialName("v") @ByteString val value: ByteArray?,
    @SerialName("n") val version: Long,
) {
    fun toStored() = StoredRow(key, value, version)

    companion object {
        /** The row as peers send it. */
        fun of(row: StoredRow): ReplicatedRow = ReplicatedRow(row.key, row.value, row.version)
    }
}
