package io.poplarwood.gateway.directory

import io.poplarwood.gateway.peer.PeerRow
import io.poplarwood.gateway.peer.PeerTable
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the entries that a caller is told to use: as few of its zone as carry the load of the zone, since an entry
 * that sees more requests knows more of the upstreams, and those that have run for a while before those that have just
 * started.
 *
 * @param self name of this entry
 * @param callers this entry's own address for callers
 */
internal class Directory(
    private val self: String,
    private val zone: String,
    private val callers: String,
    private val peers: PeerTable,
    longest: Duration,
) {
    /** Time for which an answer counts. */
    val lifetime: Duration = minOf(LIFETIME, longest)

    private class Candidate(val name: String, val zone: String, val address: String, val warm: Boolean, val rate: Int)

    /** Addresses for a caller in [callerZone]. */
    fun entriesFor(callerZone: String?, own: OwnEntry): List<String> {
        val all = candidates(own)
        val near = all.filter { it.zone == callerZone }
        val chosen = if (near.size >= FEWEST) near.take(countFor(near)) else near + all.filter { it.zone != callerZone }
        return chosen.take(MOST).map { it.address }
    }

    private fun candidates(own: OwnEntry): List<Candidate> {
        val others = peers.all.filter { it.serving || (it.hello == null && own.up < PRESUMED) }.map(::candidate)
        val mine = Candidate(self, zone, callers, own.up >= WARM, own.requestsPerS).takeIf { own.serving }
        return (others + listOfNotNull(mine)).sortedWith(compareBy({ !it.warm }, { it.name }))
    }

    private fun candidate(row: PeerRow): Candidate {
        val warm = (row.hello?.upMs ?: 0).milliseconds >= WARM
        return Candidate(row.name, row.record.zone, row.record.callers, warm, row.hello?.requestsPerS ?: 0)
    }

    private fun countFor(near: List<Candidate>): Int {
        val rate = near.sumOf { it.rate }
        return maxOf(FEWEST, ceil(rate / REQUESTS_PER_ENTRY).toInt())
    }

    private companion object {
        /** Callers learn of an entry that left within this time. */
        val LIFETIME = 2.seconds

        /** Entries that the store names are presumed to serve until they had time to greet. */
        val PRESUMED = 700.milliseconds

        /** An entry that has run for this long has its code compiled and knows the upstreams. */
        val WARM = 5.seconds

        /** With fewer entries the loss of one would leave its zone's callers without another. */
        const val FEWEST = 2

        /** Requests a second that one entry carries well within its share of a core. */
        const val REQUESTS_PER_ENTRY = 100.0
        const val MOST = 64
    }
}
