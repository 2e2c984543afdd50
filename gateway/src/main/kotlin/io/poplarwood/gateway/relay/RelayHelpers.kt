package io.poplarwood.gateway.relay

import io.poplarwood.api.random.RandomSource
import io.poplarwood.gateway.peer.PeerStatus
import io.poplarwood.gateway.peer.PeerTable

/** Selects the entries by way of which this one sends requests whose upstreams it cannot reach. */
internal class RelayHelpers(
    private val zone: String,
    private val peers: PeerTable,
    private val random: RandomSource,
) {
    private val inFlight = HashMap<String, Int>()

    /** Number of requests that are under way by way of other entries. */
    val inFlightCount: Int get() = inFlight.values.sum()

    /** The best entry except those named in [tried]; null when no entry can help. */
    fun select(tried: Set<String>): PeerStatus? =
        peers.live.filter { it.serving && !it.cutOff && it.record.relay != null && it.name !in tried }
            .map { it to cost(it) }.minByOrNull { it.second }?.first

    /** Entries that may know which upstreams answer, the best first. */
    fun witnesses(count: Int): List<PeerStatus> =
        peers.live.filter { it.serving && !it.cutOff }.sortedByDescending { it.hello?.requestsPerS ?: 0 }.take(count)

    /** Counts a request that is sent by way of [helper], or that has ended, with a [change] of -1. */
    fun count(helper: PeerStatus, change: Int) {
        inFlight.merge(helper.name, change, Int::plus)
    }

    /** Share of the helper's capacity in use, with surcharges; entries that take callers know the upstreams best. */
    private fun cost(peer: PeerStatus): Double {
        val requests = (peer.hello?.requestsPerS ?: 0) + (inFlight[peer.name] ?: 0) * REQUESTS_PER_S_IN_FLIGHT
        val otherZone = if (peer.record.zone == zone) 0.0 else OTHER_ZONE_COST
        val standby = if (peer.active) 0.0 else STANDBY_COST
        return requests / peer.record.capacity + otherZone + standby + random.nextDouble() * SPREAD
    }

    private companion object {
        /** Heartbeats tell of a helper's load late; a request in flight stands for this rate meanwhile. */
        const val REQUESTS_PER_S_IN_FLIGHT = 4.0

        /** Bytes between zones have a price, and entries on standby know the load of upstreams less well. */
        const val OTHER_ZONE_COST = 0.25
        const val STANDBY_COST = 0.15

        /** Entries that are cut off at the same moment do not all select the same helper. */
        const val SPREAD = 0.2
    }
}
