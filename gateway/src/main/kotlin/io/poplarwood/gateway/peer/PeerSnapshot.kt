package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Registrations that a requesting peer lacks: either all that changed after a version, or one page of all.
 *
 * @property rows the registrations; those without a value were removed
 * @property after store version after which [rows] changed; null when they are a page of all registrations
 * @property more whether further pages follow
 * @property upstreamVersion store version of the newest change of a registration that the sender has
 * @property coveredVersion store version up to which the sender has every registration
 */
@Serializable
internal class PeerSnapshot(
    @SerialName("r") val rows: List<ReplicatedRow>,
    @SerialName("a") val after: Long?,
    @SerialName("m") val more: Boolean,
    @SerialName("uv") val upstreamVersion: Long,
    @SerialName("cv") val coveredVersion: Long,
)
