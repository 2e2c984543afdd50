package io.poplarwood.standins.upstream

import java.security.MessageDigest

/** Generates response bodies that a reader can verify byte by byte without storing them. */
object Pattern {
    private const val INDEX_MULTIPLIER = 31

    /** The byte at [index] of the body generated for [token]. */
    fun byteAt(
        token: String,
        index: Long,
    ): Byte = (token.hashCode() + index * INDEX_MULTIPLIER + (index shr 8)).toByte()

    /** [length] bytes of the body generated for [token], starting at [offset]. */
    fun bytes(token: String, offset: Long, length: Int): ByteArray = ByteArray(length) { byteAt(token, offset + it) }

    /** SHA-256, in hexadecimal, of the first [length] bytes of the body generated for [token]. */
    fun digest(token: String, length: Long): String {
        val digest = MessageDigest.getInstance("SHA-256")
        var position = 0L
        while (position < length) {
            val chunk = minOf(CHUNK_BYTES.toLong(), length - position).toInt()
            digest.update(bytes(token, position, chunk))
            position += chunk
        }
        return digest.digest().toHexString()
    }

    internal const val CHUNK_BYTES: Int = 16_384
}
