package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides to whom an entry sends heartbeats and how often, so that the heartbeats of one entry do not grow with the
 * number of entries.
 *
 * An active entry (one that takes callers) sends heartbeats to all entries of its zone and to the active entries of
 * other zones. It covers the remaining entries in rotation, a few at a time, so that entries that a network partition
 * separated find each other again. A standby entry sends heartbeats to the active entries of its zone; if it knows
 * none, it sends heartbeats as an active entry does.
 */
internal class HeartbeatPlan(
    private val zone: String,
    private val peers: PeerTable,
    private val roles: ActiveEntries,
) {
    private var nextIndex = 0

    /** Whether this entry sends heartbeats to more than the active entries of its zone. */
    val wide: Boolean get() = roles.active || roles.activePeers.isEmpty()

    /** The heartbeats to send now; advances the rotation. */
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

    /** Whether [peer] was active at its last heartbeat, even if it is silent now. */
    private fun lastSeenActive(peer: PeerStatus) = peer.active || peer.hello?.active ?: false

    /** For each zone without a known active entry, the entries that would be selected first. */
    private fun presumed(otherZones: List<PeerStatus>): List<PeerStatus> =
        otherZones.groupBy { it.record.zone }.values.filter { zonePeers -> zonePeers.none(::lastSeenActive) }
            .flatMap { zonePeers ->
                zonePeers.sortedWith(
                    compareBy(ActivePolicy.PREFERENCE) {
                        it.toCandidate()
                    },
                ).take(ActivePolicy.MIN_ACTIVE)
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
        /** Heartbeat interval of an active entry. */
        val ACTIVE_PERIOD: Duration = PeerMessage.INITIAL_INTERVAL_MS.milliseconds

        /** Heartbeat interval of a standby entry. */
        val STANDBY_PERIOD: Duration = 1.seconds
        private const val ROTATION_SIZE = 4
    }
}
