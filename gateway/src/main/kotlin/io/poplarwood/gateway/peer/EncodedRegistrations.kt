package io.poplarwood.gateway.peer

import io.poplarwood.gateway.configuration.Compression
import io.poplarwood.gateway.store.StoredRow
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes registrations, compressed, for other entries. */
internal object EncodedRegistrations {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(rows: List<StoredRow>): ByteArray = Compression.pack(cbor.encodeToByteArray(rows.map(ReplicatedRow::of)))

    /** The rows that [encode] was given; null when [bytes] are damaged. */
    fun decode(bytes: ByteArray): List<StoredRow>? = try {
        Compression.unpack(bytes)?.let { cbor.decodeFromByteArray<List<ReplicatedRow>>(it) }?.map { it.toStored() }
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
