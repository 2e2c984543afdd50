package io.poplarwood.gateway.http

import io.netty.buffer.ByteBuf

/** Gathers the parts of a body; [expected] is its length in bytes, or 0 when it is unknown. */
internal class BodyBuffer(private val expected: Int = 0) {
    private var buffer = ByteArray(if (expected == 0) FIRST_BYTES else minOf(expected, MOST_FIRST_BYTES))

    /** Bytes gathered so far. */
    var size: Int = 0
        private set

    /** Appends what [part] holds. */
    fun add(part: ByteBuf) {
        val count = part.readableBytes()
        if (count == 0) return
        if (size + count > buffer.size) buffer = buffer.copyOf(grownFor(size + count))
        part.getBytes(part.readerIndex(), buffer, size, count)
        size += count
    }

    /** The whole body. */
    fun bytes(): ByteArray = if (size == buffer.size) buffer else buffer.copyOf(size)

    private fun grownFor(bytes: Int): Int {
        val doubled = maxOf(bytes, buffer.size * 2)
        return if (expected >= bytes) minOf(doubled, expected) else doubled
    }

    private companion object {
        const val FIRST_BYTES = 2048

        /** A sender that announces much and sends little must not take the memory for it. */
        const val MOST_FIRST_BYTES = 64 * 1024
    }
}
