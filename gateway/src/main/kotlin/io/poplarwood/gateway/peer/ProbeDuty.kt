package io.poplarwood.gateway.peer

import io.poplarwood.api.id.Zone

/**
 * Which entry asks an upstream for its load, so that each upstream is asked once for all: the first of its zone that
 * takes requests, or the first of all where its zone has none.
 *
 * @param serves whether this entry takes requests
 */
internal class ProbeDuty(
    private val self: String,
    private val zone: Zone,
    private val peers: PeerTable,
    private val serves: () -> Boolean,
) {
    /** Whether the upstreams of [upstreamZone] are this entry's to ask. */
    fun isFor(upstreamZone: Zone): Boolean {
        if (!serves()) return false
        val serving = peers.live.filter { it.serving }
        val near = serving.filter { it.record.zone == upstreamZone.value }
        if (zone == upstreamZone) return near.none { it.name < self }
        return near.isEmpty() && serving.none { it.name < self }
    }
}
