package io.poplarwood.fleet.snapshot

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.cbor.Cbor
import java.security.MessageDigest
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Encodes a snapshot page as a SHA-256 checksum followed by CBOR; decoding verifies the checksum. */
object SnapshotCodec {
    private const val CHECKSUM_BYTES = 32
    private val MAX_AGE: Duration = 10.minutes
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(snapshot: FleetSnapshot): ByteArray {
        val body = cbor.encodeToByteArray(FleetSnapshot.serializer(), snapshot)
        return checksum(body, 0) + body
    }

    /** Decodes [bytes]; [nowMs] is the wall clock of this entry and [head] the largest sequence known here. */
    fun decode(bytes: ByteArray, nowMs: Long, head: Long): Result<FleetSnapshot, SnapshotFault> {
        if (bytes.size <= CHECKSUM_BYTES) return Err(SnapshotFault.DAMAGED)
        val sum = bytes.copyOf(CHECKSUM_BYTES)
        if (!MessageDigest.isEqual(sum, checksum(bytes, CHECKSUM_BYTES))) return Err(SnapshotFault.DAMAGED)
        val body = bytes.copyOfRange(CHECKSUM_BYTES, bytes.size)
        val snapshot = runCatching { cbor.decodeFromByteArray(FleetSnapshot.serializer(), body) }.getOrNull()
        return when {
            snapshot == null || snapshot.sequence < 0 -> Err(SnapshotFault.DAMAGED)
            snapshot.format != FleetSnapshot.FORMAT -> Err(SnapshotFault.FORMAT)
            abs(nowMs - snapshot.takenMs) > MAX_AGE.inWholeMilliseconds -> Err(SnapshotFault.TOO_OLD)
            snapshot.sequence < head -> Err(SnapshotFault.BEHIND)
            else -> Ok(snapshot)
        }
    }

    private fun checksum(bytes: ByteArray, from: Int): ByteArray =
        MessageDigest.getInstance("SHA-256").apply { update(bytes, from, bytes.size - from) }.digest()
}
