package io.poplarwood.fleet.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of an upstream in the cell. An update takes effect only if its state comes later in the declared order. */
@Serializable
enum class FleetUpstreamState {
    /** Listed, and not known to be draining. */
    @SerialName("live")
    LIVE,

    /** Draining: takes no new requests. Final for this incarnation except for [GONE]. */
    @SerialName("leaving")
    LEAVING,

    /** No longer listed, or its address belongs to another incarnation. */
    @SerialName("gone")
    GONE,
}
