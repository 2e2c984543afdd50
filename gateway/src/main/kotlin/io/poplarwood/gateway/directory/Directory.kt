package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.ActiveEntries
import io.poplarwood.gateway.peer.ActivePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the entries that a caller should use: the active entries of the caller's zone, and those of other zones when
 * that zone has too few. Entries that are cut off from upstreams are named only when no other is known.
 *
 * @param zone zone assumed for callers that do not state theirs
 * @param zones all zones that have entries
 * @param maxLifetime upper bound of [lifetime]
 */
internal class Directory(
    private val zone: String,
    private val zones: () -> Set<String>,
    private val entries: ActiveEntries,
    maxLifetime: Duration,
) {
    /** Time for which an answer is valid. */
    val lifetime: Duration = minOf(DEFAULT_LIFETIME, maxLifetime)

    /** Addresses (`ip:port`) for a caller in [callerZone]. */
    fun entriesFor(callerZone: String?): List<String> {
        entries.refresh()
        val homeZone = callerZone ?: zone
        val sameZone = entries.addressesOf(homeZone)
        if (sameZone.size >= ActivePolicy.MIN_ACTIVE) return sameZone.take(MAX_ENTRIES)
        val otherZones = (zones() - homeZone).sorted().flatMap { entries.addressesOf(it) }
        return (sameZone + otherZones).ifEmpty { entries.allAddresses() }.take(MAX_ENTRIES)
    }

    private companion object {
        /** Time within which callers notice that an entry has stopped. */
        val DEFAULT_LIFETIME = 2.seconds
        const val MAX_ENTRIES = 64
    }
}
