package io.poplarwood.gateway.configuration

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/** Compresses messages between entries. */
internal object Compression {
    /** A message does not become larger than this when it is unpacked, so that a damaged one cannot fill the memory. */
    private const val MAX_UNPACKED_BYTES = 4 * 1024 * 1024

    fun pack(bytes: ByteArray): ByteArray {
        val out = ByteArrayOutputStream()
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(out, deflater).use { it.write(bytes) }
        deflater.end()
        return out.toByteArray()
    }

    /** What [pack] was given; null when [packed] is damaged or too large. */
    fun unpack(packed: ByteArray): ByteArray? = try {
        val input = InflaterInputStream(ByteArrayInputStream(packed))
        input.use { it.readNBytes(MAX_UNPACKED_BYTES + 1) }.takeIf { it.size <= MAX_UNPACKED_BYTES }
    } catch (e: IOException) {
        null
    }
}
