package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone

/**
 * Which entry asks an upstream for its load, so that each upstream is asked once for all: the lead of its zone, or the
 * first of all entries that take requests where its zone has none.
 */
internal class ProbeDuty(
    private val self: String,
    private val zone: Zone,
    private val peers: PeerTable,
    private val roles: ActiveSet,
) {
    /** Whether the upstreams of [upstreamZone] are this entry's to ask. */
    fun isFor(upstreamZone: Zone): Boolean {
        if (!roles.active) return false
        if (zone == upstreamZone) return roles.isLead
        val others = peers.active.filter { it.serving }
        return others.none { it.record.zone == upstreamZone.value || it.name < self }
    }
}
