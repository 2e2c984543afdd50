package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.PeerTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the entries that a caller is told to use: those of its zone, and others only when its zone has too few.
 *
 * @property zone of this entry
 * @property callers this entry's own address for callers
 */
internal class Directory(
    private val zone: String,
    private val callers: String,
    private val peers: PeerTable,
    longest: Duration,
) {
    /** Time for which an answer counts. */
    val lifetime: Duration = minOf(LIFETIME, longest)

    /**
     * Addresses for a caller in [callerZone].
     *
     * @param selfServing this entry takes requests and is not stopping
     * @param age time since this process started
     */
    fun entriesFor(callerZone: String?, selfServing: Boolean, age: Duration): List<String> {
        val known = peers.all.filter { it.serving || (it.hello == null && age < PRESUMED) }
        val near = known.filter { it.record.zone == callerZone }.map { it.record.callers } +
            listOfNotNull(callers.takeIf { selfServing && zone == callerZone })
        if (near.size >= ENOUGH) return near
        val far = known.filter { it.record.zone != callerZone }.map { it.record.callers } +
            listOfNotNull(callers.takeIf { selfServing && zone != callerZone })
        return (near + far).take(MOST)
    }

    private companion object {
        /** Callers learn of an entry that left within this time. */
        val LIFETIME = 2.seconds

        /** Entries that the store names are presumed to serve until they had time to greet. */
        val PRESUMED = 700.milliseconds

        /** With fewer entries the loss of one would leave its zone's callers without another. */
        const val ENOUGH = 2
        const val MOST = 64
    }
}
