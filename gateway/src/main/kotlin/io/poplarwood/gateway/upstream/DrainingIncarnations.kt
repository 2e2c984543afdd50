package io.poplarwood.gateway.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Incarnations of upstreams that announced that they are draining, whether they are currently registered or not. */
internal class DrainingIncarnations {
    /** When each incarnation was last announced, the oldest announcement first. */
    private val announcedAt = LinkedHashMap<IncarnationId, Duration>()

    /** Adds or renews the incarnation of [id] that began at [born] (milliseconds since the epoch, 0 when unknown). */
    fun add(id: String, born: Long, now: Duration) {
        val incarnation = IncarnationId(id, born)
        announcedAt.remove(incarnation)
        announcedAt[incarnation] = now
        if (announcedAt.size > MAX_INCARNATIONS) announcedAt.remove(announcedAt.keys.first())
    }

    /** Whether the incarnation of [id] that began at [born] announced that it is draining. */
    fun contains(id: String, born: Long, now: Duration): Boolean {
        val retention = if (born == UNKNOWN_START) RETENTION_OF_UNKNOWN_START else RETENTION
        return announcedAt[IncarnationId(id, born)]?.let { now - it < retention } ?: false
    }

    private companion object {
        /** A draining upstream has ended by then. */
        val RETENTION = 10.minutes

        /** Short, because the next incarnation cannot be told from the one that announced it. */
        val RETENTION_OF_UNKNOWN_START = 10.seconds
        const val UNKNOWN_START = 0L
        const val MAX_INCARNATIONS = 2_000
    }
}
