package io.poplarwood.gateway.store

import kotlin.time.Duration

/**
 * Registrations that were removed and came back with an older copy of the store. The upstream may have left, so it gets
 * no requests until its registration would have expired again.
 */
internal class ReturningRegistrations(private val registrationExpiry: Duration) {
    private val heldSince = HashMap<String, Duration>()

    /** Holds the registration [key] from [now] on. */
    fun hold(key: String, now: Duration) {
        heldSince[key] = now
    }

    /** No longer holds the registration [key], because it was written or removed since. */
    fun release(key: String) {
        heldSince.remove(key)
    }

    /** Releases and returns the keys of registrations that should have expired at [confirmedAt] and have not. */
    fun releaseDue(confirmedAt: Duration): List<String> {
        if (heldSince.isEmpty()) return emptyList()
        val due = heldSince.filterValues { confirmedAt - it >= registrationExpiry }.keys.toList()
        heldSince -= due.toSet()
        return due
    }
}
