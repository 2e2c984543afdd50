package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone

/**
 * Decides which entry probes an upstream for its load, so that a single entry probes each upstream: the leader of the
 * upstream's zone, or the first of all active entries by name where that zone has none.
 */
internal class ProbeAssignment(
    private val self: String,
    private val zone: Zone,
    private val peers: PeerTable,
    private val roles: ActiveEntries,
) {
    /** Whether this entry probes the upstreams of [upstreamZone]. */
    fun isAssigned(upstreamZone: Zone): Boolean {
        if (!roles.active) return false
        if (zone == upstreamZone) return roles.isLeader
        val others = peers.active.filter { it.serving }
        return others.none { it.record.zone == upstreamZone.value || it.name < self }
    }
}
