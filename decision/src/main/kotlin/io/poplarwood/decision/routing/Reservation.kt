package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId

/** Reply of a [Router] to a request for a slot. */
sealed interface Reservation {
    /** A slot at [upstream]; [considered] is the number of upstreams compared. */
    data class Granted(val slot: SlotId, val upstream: UpstreamId, val considered: Int) : Reservation

    /** Every usable upstream is believed to be full, so the call waits. */
    data object Overloaded : Reservation

    /** No upstream may be used. */
    data object NoUpstream : Reservation
}
