package io.poplarwood.gateway.http

/** Limits the total size of the bodies that are buffered at once to [limitBytes]. */
internal class BodyMemoryBudget(private val limitBytes: Long) {
    /** Bytes that are reserved now. */
    var reservedBytes: Long = 0L
        private set

    /** Reserves [bytes]; returns false, and reserves nothing, if that would exceed the limit. */
    fun tryReserve(bytes: Long): Boolean {
        if (reservedBytes + bytes > limitBytes) return false
        reservedBytes += bytes
        return true
    }

    /** Returns [bytes] that were reserved. */
    fun release(bytes: Long) {
        reservedBytes -= bytes
    }
}
