package io.poplarwood.gateway.peer

import io.poplarwood.gateway.directory.OwnEntry
import kotlin.time.Duration.Companion.milliseconds

/**
 * The entries that take callers, as this entry knows them. An active entry (one that takes callers) receives heartbeats
 * from all of its zone and selects with [ActivePolicy]. A standby entry receives few heartbeats and adopts the
 * selection that the zone leader announces.
 */
internal class ActiveEntries(
    private val self: String,
    private val record: PeerRecord,
    private val peers: PeerTable,
    private val own: () -> OwnEntry,
) {
    /** Whether this entry takes callers of its zone. */
    var active: Boolean = false
        private set

    /** Names of the entries that take callers of this entry's zone, the zone leader first. */
    var selected: List<String> = emptyList()
        private set

    val requestsPerS: Int get() = own().requestsPerS

    /** Whether this entry cannot reach upstreams that others reach. */
    val cutOff: Boolean get() = own().cutOff

    /** Whether another entry of this entry's zone cannot reach upstreams. */
    val hasCutOffNeighbor: Boolean get() = peers.liveInZone(record.zone).any { it.cutOff }

    /** Whether this entry takes callers of its zone, or still receives requests from them. */
    fun receivesRequests(): Boolean = active || requestsPerS > 0

    /** Live peers that take callers of this entry's zone. */
    val activePeers: List<PeerStatus> get() = peers.liveInZone(record.zone).filter { it.hello?.active ?: false }

    /** Whether this entry is the zone leader: the first of those that take the zone's callers. */
    val isLeader: Boolean get() = active && selected.firstOrNull() == self

    /** Repeats the selection; returns true when it changed. */
    fun refresh(): Boolean {
        val before = selected
        val activePeers = activePeers
        val next = if (active || activePeers.isEmpty()) ownSelection() else announcedBy(activePeers)
        selected = next
        active = self in next && own().serving
        return before != next
    }

    /** Addresses for callers of [zone], of entries that reach upstreams; empty when no such entry is known there. */
    fun addressesOf(zone: String): List<String> = if (zone == record.zone) {
        selected.filterNot(::isCutOff).mapNotNull(::addressOf)
    } else {
        ActivePolicy.of(known(zone)).filterNot { it.cutOff }.map { it.callers }
    }

    /** Addresses for callers of the own zone, whether these entries reach upstreams or not. */
    fun allAddresses(): List<String> = selected.mapNotNull(::addressOf)

    private fun isCutOff(name: String) = if (name == self) cutOff else peers[name]?.cutOff ?: false

    private fun ownSelection(): List<String> = ActivePolicy.of(known(record.zone) + listOfNotNull(ownCandidate())).map {
        it.name
    }

    private fun announcedBy(activePeers: List<PeerStatus>): List<String> =
        activePeers.minWith(compareBy(ActivePolicy.PREFERENCE) { it.toCandidate() }).hello?.zoneActive.orEmpty()

    private fun known(zone: String): List<ActiveCandidate> {
        val starting = own().uptime < DISCOVERY_TIME
        return peers.all.filter { it.record.zone == zone }
            .filter { it.serving || (it.hello == null && starting) }
            .filter { zone == record.zone || it.hello == null || it.active }
            .map { it.toCandidate() }
    }

    private fun addressOf(name: String): String? {
        if (name == self) return record.callers.takeIf { own().serving }
        val peer = peers[name] ?: return null
        return peer.record.callers.takeIf { peer.serving || peer.hello == null }
    }

    private fun ownCandidate(): ActiveCandidate? = own().takeIf { it.serving }?.let {
        ActiveCandidate(
            self,
            record.callers,
            it.uptime >= PeerStatus.WARM_UP_TIME,
            record.capacity,
            it.requestsPerS,
            it.cutOff,
        )
    }

    private companion object {
        /** A stored entry is presumed to serve until there was time for its first heartbeat. */
        val DISCOVERY_TIME = 700.milliseconds
    }
}
