package io.poplarwood.decision.routing

/** State of an upstream at one entry. */
enum class UpstreamState {
    /** Takes work. */
    LIVE,

    /** Takes work in a ramp: new or returning. */
    WARMING,

    /** Ejected on evidence; takes work again through the ramp. */
    SUSPECT,

    /** Takes no new work. */
    LEAVING,
}
