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
    var chosen: List<String> = emptyList()
        private set

    /** Requests a second that this entry takes. */
    val requestsPerS: Int get() = own().requestsPerS

    /** Peers of the own zone that take its callers. */
    val leads: List<PeerRow> get() = peers.liveOf(record.zone).filter { it.hello?.active ?: false }

    /** Whether this entry is the first of those that take its zone's callers. */
    val isLead: Boolean get() = active && chosen.firstOrNull() == self

    /** Chooses anew; true when the choice changed. */
    fun refresh(): Boolean {
        val before = chosen
        val leads = leads
        val all = if (active || leads.isEmpty()) ownChoice() else toldBy(leads)
        chosen = all
        active = self in all && own().serving
        return before != all
    }

    /** Addresses for callers of [zone]; empty when none is known there. */
    fun addressesOf(zone: String): List<String> =
        if (zone == record.zone) chosen.mapNotNull(::addressOf) else ActiveChoice.of(known(zone)).map { it.callers }

    private fun ownChoice(): List<String> = ActiveChoice.of(known(record.zone) + listOfNotNull(ownStanding())).map {
        it.name
    }

    private fun toldBy(leads: List<PeerRow>): List<String> =
        leads.minWith(compareBy(ActiveChoice.ORDER) { it.standing() }).hello?.zoneActive.orEmpty()

    private fun known(zone: String): List<Standing> {
        val starting = own().up < PRESUMED
        return peers.all.filter { it.record.zone == zone }
            .filter { it.serving || (it.hello == null && starting) }
            .filter { zone == record.zone || it.hello == null || it.active }
            .map { it.standing() }
    }

    private fun addressOf(name: String): String? {
        if (name == self) return record.callers.takeIf { own().serving }
        val row = peers[name] ?: return null
        return row.record.callers.takeIf { row.serving || row.hello == null }
    }

    private fun ownStanding(): Standing? = own().takeIf { it.serving }?.let {
        Standing(self, record.callers, it.up >= PeerRow.WARM, record.capacity, it.requestsPerS)
    }

    private companion object {
        /** Entries that the store names are presumed to serve until they had time to greet. */
        val PRESUMED = 700.milliseconds
    }
}
