package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.ActiveChoice
import io.poplarwood.gateway.peer.ActiveSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells a caller which entries to use: those that take the callers of its zone, and those of other zones where it has
 * too few.
 *
 * @param zone the zone of callers that do not tell theirs
 * @param zones all zones that have entries
 */
internal class Directory(
    private val zone: String,
    private val zones: () -> Set<String>,
    private val entries: ActiveSet,
    maxLifetime: Duration,
) {
    /** Time for which an answer counts. */
    val lifetime: Duration = minOf(DEFAULT_LIFETIME, maxLifetime)

    /** Addresses for a caller in [callerZone]. */
    fun entriesFor(callerZone: String?): List<String> {
        entries.refresh()
        val homeZone = callerZone ?: zone
        val sameZone = entries.addressesOf(homeZone)
        if (sameZone.size >= ActiveChoice.FEWEST) return sameZone.take(MAX_ENTRIES)
        val otherZones = (zones() - homeZone).sorted().flatMap { entries.addressesOf(it) }
        return (sameZone + otherZones).take(MAX_ENTRIES)
    }

    private companion object {
        /** Callers learn of an entry that left within this time. */
        val DEFAULT_LIFETIME = 2.seconds
        const val MAX_ENTRIES = 64
    }
}
