package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Lives of upstreams that were found to leave, whether they are registered at this moment or not. */
internal class DrainingIncarnations {
    private data class Incarnation(val id: String, val born: Long)

    private val foundAt = LinkedHashMap<Incarnation, Duration>()

    /** Adds the life of [id] that began at [born]. */
    fun add(id: String, born: Long, now: Duration) {
        foundAt.putIfAbsent(Incarnation(id, born), now)
        if (foundAt.size > MAX_INCARNATIONS) foundAt.remove(foundAt.keys.first())
    }

    /** Whether that life is known to leave. */
    fun contains(id: String, born: Long, now: Duration): Boolean =
        foundAt[Incarnation(id, born)]?.let { now - it < RETENTION } ?: false

    private companion object {
        /** An upstream that leaves has ended by then. */
        val RETENTION = 10.minutes
        const val MAX_INCARNATIONS = 2_000
    }
}
