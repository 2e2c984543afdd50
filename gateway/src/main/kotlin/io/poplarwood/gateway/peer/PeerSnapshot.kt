package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * The registrations of an entry's copy of the store, for a peer that lacks some.
 *
 * @property upstreams all registrations; null when the peer is up to date
 * @property upstreamVersion store version of the newest change of a registration that the sender has
 * @property coveredVersion store version up to which the sender has every registration
 */
@Serializable
internal class PeerSnapshot(
    val upstreams: List<ReplicatedRow>?,
    val upstreamVersion: Long,
    val coveredVersion: Long,
)
