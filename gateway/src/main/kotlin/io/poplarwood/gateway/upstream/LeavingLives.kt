package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Lives of upstreams that were found to leave, whether they are registered at this moment or not. */
internal class LeavingLives {
    private data class Life(val id: String, val born: Long)

    private val foundAt = LinkedHashMap<Life, Duration>()

    /** Adds the life of [id] that began at [born]. */
    fun add(id: String, born: Long, now: Duration) {
        foundAt.putIfAbsent(Life(id, born), now)
        if (foundAt.size > MOST) foundAt.remove(foundAt.keys.first())
    }

    /** Whether that life is known to leave. */
    fun has(id: String, born: Long, now: Duration): Boolean =
        foundAt[Life(id, born)]?.let { now - it < KEPT } ?: false

    private companion object {
        /** An upstream that leaves has ended by then. */
        val KEPT = 10.minutes
        const val MOST = 2_000
    }
}
