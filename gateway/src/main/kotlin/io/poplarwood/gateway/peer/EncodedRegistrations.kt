package io.poplarwood.gateway.peer

import io.poplarwood.gateway.configuration.Compression
import io.poplarwood.gateway.store.StoreVersion
import io.poplarwood.gateway.store.StoredRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Encodes registrations, compressed, for other entries. Thousands of rows cross narrow links, so the era of their
 * versions is written once for all rows in a row that share it.
 */
internal object EncodedRegistrations {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    @Serializable
    private class Rows(
        @SerialName("e") val era: Long,
        @SerialName("r") val rows: MutableList<Row> = ArrayList(),
    ) {
        fun toStored() = rows.map { StoredRow(it.key, it.value, StoreVersion(era, it.change)) }
    }

    @Serializable
    private class Row(
        @SerialName("k") val key: String,
        @SerialName("v") @ByteString val value: ByteArray?,
        @SerialName("n") val change: Long,
    )

    fun encode(rows: List<StoredRow>): ByteArray {
        val groups = ArrayList<Rows>()
        for (row in rows) {
            if (groups.lastOrNull()?.era != row.version.era) groups += Rows(row.version.era)
            groups.last().rows += Row(row.key, row.value, row.version.change)
        }
        return Compression.pack(cbor.encodeToByteArray<List<Rows>>(groups))
    }

    /** The rows that [encode] was given; null when [bytes] are damaged. */
    fun decode(bytes: ByteArray): List<StoredRow>? = try {
        Compression.unpack(bytes)?.let { cbor.decodeFromByteArray<List<Rows>>(it) }?.flatMap { it.toStored() }
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
