package io.poplarwood.fleet

import com.github.michaelbull.result.get
import io.poplarwood.api.random.SplitMix
import io.poplarwood.fleet.config.ChangeBatch
import io.poplarwood.fleet.config.ConfigChange
import io.poplarwood.fleet.config.ConfigCodec
import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.config.FleetView
import io.poplarwood.fleet.snapshot.FleetSnapshot
import io.poplarwood.fleet.snapshot.SnapshotCodec
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class DecoderFuzzSpec {
    private val document = document()
    private val change = ConfigChange(document.service, 1, "id", "ana", 5, document)

    /** Returns a corrupted copy of [bytes]: one byte changed, truncated, partly duplicated, or random. */
    private fun damage(bytes: ByteArray, random: SplitMix): ByteArray = when (random.nextInt(4)) {
        0 -> bytes.copyOf().also { it[random.nextInt(it.size)] = random.nextLong().toByte() }
        1 -> bytes.copyOf(random.nextInt(bytes.size))
        2 -> bytes + bytes.copyOf(random.nextInt(bytes.size))
        else -> ByteArray(random.nextInt(64)) { random.nextLong().toByte() }
    }

    private fun fuzz(seed: Long, good: ByteArray, decode: (ByteArray) -> Unit) {
        val random = SplitMix(seed)
        decode(good)
        repeat(RUNS) { decode(damage(good, random)) }
    }

    @Nested
    inner class `corrupted bytes` {
        @Test
        fun `never make the decoders of rows and objects throw`() {
            // Guards against a corrupted row whose exception terminates the state machine of the entry.
            fuzz(1, ConfigCodec.encodeDocument(document)) { ConfigCodec.decodeDocument(it) }
            fuzz(2, ConfigCodec.encodeChange(change)) { ConfigCodec.decodeChange(it) }
            fuzz(3, ConfigCodec.encodeBatch(ChangeBatch(1, "b", listOf(change)))) { ConfigCodec.decodeBatch(it) }
            fuzz(4, ConfigCodec.encodeView(FleetView(1, emptyList()))) { ConfigCodec.decodeView(it) }
        }

        @Test
        fun `are never accepted as a snapshot`() {
            // Guards against an entry that starts with documents that were never written.
            val snapshot = FleetSnapshot(1, 7, 1_000, listOf(DocumentInForce(document, 1, 7)))
            val good = SnapshotCodec.encode(snapshot)
            assertEquals(snapshot, SnapshotCodec.decode(good, 1_000, 7).get())
            val random = SplitMix(5)
            repeat(RUNS) {
                val bad = damage(good, random)
                if (!bad.contentEquals(good)) assertNull(SnapshotCodec.decode(bad, 1_000, 7).get())
            }
            assertNull(SnapshotCodec.decode(good, 1_000, 8).get(), "behind the head")
            assertNull(SnapshotCodec.decode(good, 10_000_000, 7).get(), "too old")
        }
    }

    private companion object {
        const val RUNS = 20_000
    }
}
