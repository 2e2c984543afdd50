package io.poplarwood.gateway.http

import io.netty.buffer.ByteBuf

/** Buffers a body that is received in chunks; [expectedBytes] is its announced length, or 0 if that is unknown. */
internal class BodyBuffer(private val expectedBytes: Int = 0) {
    private var buffer =
        ByteArray(if (expectedBytes == 0) INITIAL_CAPACITY_BYTES else minOf(expectedBytes, MAX_INITIAL_CAPACITY_BYTES))

    /** Bytes buffered so far. */
    var size: Int = 0
        private set

    /** Appends the readable bytes of [chunk], without moving its reader index. */
    fun append(chunk: ByteBuf) {
        val count = chunk.readableBytes()
        if (count == 0) return
        if (size + count > buffer.size) buffer = buffer.copyOf(grownCapacity(size + count))
        chunk.getBytes(chunk.readerIndex(), buffer, size, count)
        size += count
    }

    /** The bytes buffered so far; not necessarily a copy. */
    fun bytes(): ByteArray = if (size == buffer.size) buffer else buffer.copyOf(size)

    private fun grownCapacity(required: Int): Int {
        val doubled = maxOf(required, buffer.size * 2)
        return if (expectedBytes >= required) minOf(doubled, expectedBytes) else doubled
    }

    private companion object {
        const val INITIAL_CAPACITY_BYTES = 2048

        /** Bounds the memory that a sender can occupy by announcing a large body and sending little. */
        const val MAX_INITIAL_CAPACITY_BYTES = 64 * 1024
    }
}
