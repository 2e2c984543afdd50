package io.poplarwood.gateway.upstream

/** Whether an upstream may get work, and why not; each state is stricter than those before it. */
internal enum class AvailabilityState {
    /** It gets work. */
    READY,

    /** The time that it asked for is over; it gets a little work, then more. */
    RETURNING,

    /** Its rest is over; it gets one request at a time. */
    ON_TRIAL,

    /** It brought no answers lately. */
    RESTING,

    /** It asked for no work until a time. */
    DEFERRED,

    /** Another upstream seems to live at its address. */
    ELSEWHERE,

    /** It leaves, and gets no work again in this life. */
    LEAVING,
}
