package io.poplarwood.gateway.peer

import kotlinx.serialization.Serializable

/**
 * All that an entry knows of the store, for a peer that does not.
 *
 * @property upstreamVersion store version of the newest change of a registration that it knows
 * @property coveredVersion store version up to which it knows every registration
 */
@Serializable
internal class PeerState(
    val state: PeerStateRow?,
    val upstreams: List<PeerStateRow>,
    val upstreamVersion: Long,
    val coveredVersion: Long,
)
