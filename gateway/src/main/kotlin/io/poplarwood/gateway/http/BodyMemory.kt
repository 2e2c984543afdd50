package io.poplarwood.gateway.http

/** Bounds the bytes of bodies that are held at once. */
internal class BodyMemory(private val limit: Long) {
    private var held = 0L

    /** Sets [bytes] aside; false when that would exceed the bound. */
    fun take(bytes: Long): Boolean {
        if (held + bytes > limit) return false
        held += bytes
        return true
    }

    /** Gives [bytes] back. */
    fun release(bytes: Long) {
        held -= bytes
    }
}
