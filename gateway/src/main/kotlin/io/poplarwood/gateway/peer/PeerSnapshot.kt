package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * What an entry knows of the store and a peer that asks does not.
 *
 * @property state the desired state; null when the peer knows it
 * @property upstreams all registrations; null when the peer knows them
 * @property upstreamVersion store version of the newest change of a registration that it knows
 * @property coveredVersion store version up to which it knows every registration
 */
@Serializable
internal class PeerSnapshot(
    val state: ReplicatedRow?,
    val upstreams: List<ReplicatedRow>?,
    val upstreamVersion: Long,
    val coveredVersion: Long,
)
