package io.poplarwood.gateway.upstream

import kotlin.time.Duration

/** Observation that affects whether an upstream may receive work. */
internal sealed interface AvailabilityInput {
    /** The registration was read: the upstream is [draining], or slow for [warmup] after its start. */
    data class Registered(val draining: Boolean, val warmup: Duration) : AvailabilityInput

    /** The upstream answered a request, and the answer was not a failure. */
    data object Answered : AvailabilityInput

    /** An attempt brought no answer. */
    data object Lost : AvailabilityInput

    /** The upstream announced that it is draining, in an answer to this entry or to another one. */
    data object Draining : AvailabilityInput

    /** The upstream refused a request and asks this VM for no requests for [time]. */
    data class PauseRequested(val duration: Duration) : AvailabilityInput

    /** The upstream named a rate limit and no longer does. */
    data object LimitEnded : AvailabilityInput

    /** Another upstream answered at the address of this one. */
    data object AddressConflict : AvailabilityInput
}
