package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whom an entry greets, and how often, so that the greetings of an entry do not grow with the number of entries.
 *
 * Entries that take callers greet all of their zone and those that take callers elsewhere; any other entry greets those
 * that take its zone's callers. The rest is greeted in turn, a few at a time, so that entries that were cut off from
 * each other meet again. An entry that hears nobody who takes its zone's callers greets the whole zone.
 */
internal class GreetingPlan(private val zone: String, private val peers: PeerTable, private val roles: ActiveSet) {
    private var nextIndex = 0

    /** Whether this entry greets more than those that take its zone's callers. */
    val wide: Boolean get() = roles.active || roles.activePeers.isEmpty()

    /** The greetings that are due now. */
    fun due(): List<Heartbeats> {
        if (!wide) return listOf(Heartbeats(roles.activePeers.map { it.record.peers }, STANDBY_PERIOD, withLoad = true))
        val (sameZone, otherZones) = peers.all.partition { it.record.zone == zone }
        val (activeSameZone, standbySameZone) = sameZone.partition { it.active }
        val activeOtherZones = otherZones.filter(::lastSeenActive) + presumed(otherZones)
        val remaining = otherZones - activeOtherZones.toSet()
        return listOf(
            Heartbeats(addresses(activeSameZone + activeOtherZones), ACTIVE_PERIOD, withLoad = true),
            Heartbeats(addresses(standbySameZone), ACTIVE_PERIOD, withLoad = false),
            Heartbeats(addresses(nextInRotation(remaining)), rotationTime(remaining.size), withLoad = false),
        ).filter { it.recipients.isNotEmpty() }
    }

    /** It took callers when it was last heard, even if it is silent now. */
    private fun lastSeenActive(peer: PeerStatus) = peer.active || peer.hello?.active ?: false

    /** Entries of zones of which none that takes callers is known, the likeliest ones. */
    private fun presumed(otherZones: List<PeerStatus>): List<PeerStatus> =
        otherZones.groupBy { it.record.zone }.values.filter { zonePeers -> zonePeers.none(::lastSeenActive) }
            .flatMap { zonePeers ->
                zonePeers.sortedWith(compareBy(ActiveChoice.PREFERENCE) { it.toCandidate() }).take(ActiveChoice.FEWEST)
            }

    private fun nextInRotation(remaining: List<PeerStatus>): List<PeerStatus> {
        if (remaining.isEmpty()) return emptyList()
        val start = nextIndex % remaining.size
        nextIndex = start + ROTATION_SIZE
        return List(minOf(ROTATION_SIZE, remaining.size)) { remaining[(start + it) % remaining.size] }
    }

    private fun rotationTime(count: Int): Duration = ACTIVE_PERIOD * (count / ROTATION_SIZE + 1)

    private fun addresses(entries: List<PeerStatus>) = entries.map { it.record.peers }

    companion object {
        /** Time between two greetings of an entry that takes callers. */
        val ACTIVE_PERIOD: Duration = PeerMessage.INITIAL_INTERVAL_MS.milliseconds

        /** Time between two greetings of an entry that takes none. */
        val STANDBY_PERIOD: Duration = 1.seconds
        private const val ROTATION_SIZE = 4
    }
}
