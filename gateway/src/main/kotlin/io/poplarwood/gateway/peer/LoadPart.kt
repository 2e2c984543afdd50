package io.poplarwood.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A part of the load that an entry reports with its heartbeats. It is whole for the upstreams whose ids follow [after]
 * up to [through]: the sender has no requests at those of them that are not listed. So each part counts by itself, and
 * one that is lost leaves the load of its upstreams as it was.
 *
 * @property after last id before those that the part is whole for; empty when it is whole from the first one
 * @property through last id that the part is whole for; null when it is whole to the last one
 * @property inFlight number of requests of the sender in flight, by id of the upstream
 * @property notices upstreams that are draining or have a rate limit, whatever their ids
 */
@Serializable
internal data class LoadPart(
    @SerialName("a") val after: String = "",
    @SerialName("t") val through: String? = null,
    @SerialName("n") val inFlight: Map<String, Int> = emptyMap(),
    @SerialName("x") val notices: List<UpstreamLoad> = emptyList(),
)
