package io.poplarwood.standins.upstream

import java.security.MessageDigest

/** Bodies that can be checked byte by byte without keeping them. */
object Pattern {
    private const val INDEX_MULTIPLIER = 31

    /** The byte at [index] of the body made for [token]. */
    fun byteAt(
        token: String,
        index: Long,
    ): Byte = (token.hashCode() + index * INDEX_MULTIPLIER + (index shr 8)).toByte()

    /** [length] bytes of the body made for [token], from [offset] on. */
    fun bytes(token: String, offset: Long, length: Int): ByteArray = ByteArray(length) { byteAt(token, offset + it) }

    /** SHA-256 of the first [length] bytes of the body made for [token], in hexadecimal digits. */
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
