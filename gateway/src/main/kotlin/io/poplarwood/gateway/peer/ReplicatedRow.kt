package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One row of the store as entries send it to each other; [value] is null when the row was removed. */
@Serializable
internal class ReplicatedRow(
    @SerialName("k") val key: String,
    @SerialName("v") @ByteString val value: ByteArray?,
    @SerialName("n") val version: StoreVersion,
) {
    fun toStored() = StoredRow(key, value, version)

    companion object {
        fun of(row: StoredRow): ReplicatedRow = ReplicatedRow(row.key, row.value, row.version)
    }
}
