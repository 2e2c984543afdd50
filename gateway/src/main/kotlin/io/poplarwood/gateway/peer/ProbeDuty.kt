package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone

/**
 * Decides which entry probes an upstream for its load, so that a single entry probes each upstream: the leader of the
 * upstream's zone, or the first of all active entries by name where that zone has none.
 */
internal class ProbeDuty(
    private val self: String,
    private val zone: Zone,
    private val peers: PeerTable,
    private val roles: ActiveSet,
) {
    /** Whether this entry probes the upstreams of [upstreamZone]. */
    fun isFor(upstreamZone: Zone): Boolean {
        if (!roles.active) return false
        if (zone == upstreamZone) return roles.isLead
        val others = peers.active.filter { it.serving }
        return others.none { it.record.zone == upstreamZone.value || it.name < self }
    }
}
