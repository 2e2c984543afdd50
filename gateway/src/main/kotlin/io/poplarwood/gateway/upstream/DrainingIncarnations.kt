package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Incarnations of upstreams that announced that they are draining, whether they are currently registered or not. */
internal class DrainingIncarnations {
    private val foundAt = LinkedHashMap<IncarnationId, Duration>()

    /** Adds the incarnation of [id] that began at [born] (milliseconds since the epoch). */
    fun add(id: String, born: Long, now: Duration) {
        foundAt.putIfAbsent(IncarnationId(id, born), now)
        if (foundAt.size > MAX_INCARNATIONS) foundAt.remove(foundAt.keys.first())
    }

    /** Whether the incarnation of [id] that began at [born] announced that it is draining. */
    fun contains(id: String, born: Long, now: Duration): Boolean =
        foundAt[IncarnationId(id, born)]?.let { now - it < RETENTION } ?: false

    private companion object {
        /** A draining upstream has ended by then. */
        val RETENTION = 10.minutes
        const val MAX_INCARNATIONS = 2_000
    }
}
