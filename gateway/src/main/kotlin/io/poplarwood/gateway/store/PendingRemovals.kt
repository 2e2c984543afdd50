package io.poplarwood.gateway.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Registrations that expired around an outage of the store; their upstreams stay in use while these may come back. */
internal class PendingRemovals {
    private val dueAt = HashMap<String, Duration>()

    /** Adds the registration [key], which is missing since [now]. */
    fun add(key: String, now: Duration) {
        dueAt[key] = now + EXPIRY_GRACE
    }

    /** Removes [key], whose registration has come back; returns whether it was missing. */
    fun cancel(key: String): Boolean = dueAt.remove(key) != null

    /** Removes and returns the registrations that did not come back in time. */
    fun takeDue(now: Duration): List<String> {
        if (dueAt.isEmpty()) return emptyList()
        val due = dueAt.filterValues { it <= now }.keys.toList()
        dueAt -= due.toSet()
        return due
    }

    private companion object {
        /** Registrations of running upstreams are renewed within two seconds after the store returns. */
        val EXPIRY_GRACE = 1_700.milliseconds
    }
}
