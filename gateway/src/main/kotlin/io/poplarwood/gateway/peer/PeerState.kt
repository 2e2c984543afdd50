package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.StoredRow
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** All that an entry knows of the store, for a peer that cannot read it. */
@Serializable
internal class PeerState(val state: PeerStateRow?, val upstreams: List<PeerStateRow>, val upstreamVersion: Long)

/** One row of the store. */
@Serializable
internal class PeerStateRow(
    val key: String,
    @ByteString val value: ByteArray,
    val version: Long,
) {
    fun toStored() = StoredRow(key, value, version)

    companion object {
        /** The row as peers send it; null for one that was removed. */
        fun of(row: StoredRow): PeerStateRow? = row.value?.let { PeerStateRow(row.key, it, row.version) }
    }
}
