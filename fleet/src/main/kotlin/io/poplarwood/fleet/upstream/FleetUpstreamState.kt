package io.poplarwood.fleet.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an upstream in the cell. The order is the order of precedence of news. */
@Serializable
enum class FleetUpstreamState {
    /** Listed and not known to be leaving. */
    @SerialName("live")
    LIVE,

    /** Takes no new work; final for this incarnation except for [GONE]. */
    @SerialName("leaving")
    LEAVING,

    /** No longer listed, or its address belongs to another incarnation. */
    @SerialName("gone")
    GONE,
}
