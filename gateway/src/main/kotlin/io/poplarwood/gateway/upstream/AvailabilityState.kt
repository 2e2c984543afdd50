package io.poplarwood.gateway.upstream

/** Whether an upstream may receive work, and why not. Each state is stricter than those before it. */
internal enum class AvailabilityState {
    /** The upstream receives work. */
    READY,

    /** The pause or the lower rate that the upstream asked for is over; the load on it is ramped up. */
    RETURNING,

    /** The ejection is over and the upstream is on probation: it receives one request at a time. */
    ON_TRIAL,

    /** The upstream is ejected, because recent attempts brought no answers. */
    RESTING,

    /** The upstream asked for no requests until a certain time. */
    DEFERRED,

    /** Another upstream seems to have taken over the address. */
    ELSEWHERE,

    /** The upstream is draining, and this incarnation receives no more work. */
    LEAVING,
}
