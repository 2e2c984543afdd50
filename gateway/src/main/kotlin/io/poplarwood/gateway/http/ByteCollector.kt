package io.poplarwood.gateway.http

import io.netty.buffer.ByteBuf

/** Gathers the parts of a body. */
internal class ByteCollector(expected: Int = FIRST_BYTES) {
    private var buffer = ByteArray(expected)

    /** Bytes gathered so far. */
    var size: Int = 0
        private set

    /** Appends what [part] holds. */
    fun add(part: ByteBuf) {
        val count = part.readableBytes()
        if (count == 0) return
        if (size + count > buffer.size) buffer = buffer.copyOf(maxOf(size + count, buffer.size * 2))
        part.getBytes(part.readerIndex(), buffer, size, count)
        size += count
    }

    /** The whole body. */
    fun bytes(): ByteArray = if (size == buffer.size) buffer else buffer.copyOf(size)

    private companion object {
        const val FIRST_BYTES = 2048
    }
}
