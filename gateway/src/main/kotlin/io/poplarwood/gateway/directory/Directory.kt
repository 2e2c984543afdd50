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
    longest: Duration,
) {
    /** Time for which an answer counts. */
    val lifetime: Duration = minOf(LIFETIME, longest)

    /** Addresses for a caller in [callerZone]. */
    fun entriesFor(callerZone: String?): List<String> {
        entries.refresh()
        val home = callerZone ?: zone
        val near = entries.addressesOf(home)
        if (near.size >= ActiveChoice.FEWEST) return near.take(MOST)
        val far = (zones() - home).sorted().flatMap { entries.addressesOf(it) }
        return (near + far).take(MOST)
    }

    private companion object {
        /** Callers learn of an entry that left within this time. */
        val LIFETIME = 2.seconds
        const val MOST = 64
    }
}
