package io.poplarwood.gateway.peer

import io.poplarwood.gateway.directory.OwnEntry
import kotlin.time.Duration.Companion.milliseconds

/**
 * Which entries take callers, as this entry knows. One that does is greeted by all of its zone and chooses with
 * [ActiveChoice]; the others, which hear few, go by the choice that the zone's lead tells.
 */
internal class ActiveSet(
    private val self: String,
    private val record: PeerRecord,
    private val peers: PeerTable,
    private val own: () -> OwnEntry,
) {
    /** Whether this entry takes callers of its zone. */
    var active: Boolean = false
        private set

    /** Names of the entries that take callers of this entry's zone, the lead first. */
    var selected: List<String> = emptyList()
        private set

    /** Requests a second that this entry takes. */
    val requestsPerS: Int get() = own().requestsPerS

    /** Peers of the own zone that take its callers. */
    val activePeers: List<PeerStatus> get() = peers.liveInZone(record.zone).filter { it.hello?.active ?: false }

    /** Whether this entry is the first of those that take its zone's callers. */
    val isLead: Boolean get() = active && selected.firstOrNull() == self

    /** Chooses anew; true when the choice changed. */
    fun refresh(): Boolean {
        val before = selected
        val activePeers = activePeers
        val next = if (active || activePeers.isEmpty()) ownSelection() else announcedBy(activePeers)
        selected = next
        active = self in next && own().serving
        return before != next
    }

    /** Addresses for callers of [zone]; empty when none is known there. */
    fun addressesOf(zone: String): List<String> =
        if (zone == record.zone) selected.mapNotNull(::addressOf) else ActiveChoice.of(known(zone)).map { it.callers }

    private fun ownSelection(): List<String> = ActiveChoice.of(known(record.zone) + listOfNotNull(ownCandidate())).map {
        it.name
    }

    private fun announcedBy(activePeers: List<PeerStatus>): List<String> =
        activePeers.minWith(compareBy(ActiveChoice.PREFERENCE) { it.toCandidate() }).hello?.zoneActive.orEmpty()

    private fun known(zone: String): List<ActiveCandidate> {
        val starting = own().up < DISCOVERY_TIME
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
        ActiveCandidate(self, record.callers, it.up >= PeerStatus.WARM_UP_TIME, record.capacity, it.requestsPerS)
    }

    private companion object {
        /** Entries that the store names are presumed to serve until they had time to greet. */
        val DISCOVERY_TIME = 700.milliseconds
    }
}
