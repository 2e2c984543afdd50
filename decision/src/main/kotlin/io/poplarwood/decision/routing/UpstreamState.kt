package io.poplarwood.decision.routing

/** State of an upstream as one entry sees it. */
enum class UpstreamState {
    /** Gets work. */
    LIVE,

    /** New or returning: gets work through a ramp. */
    WARMING,

    /** Ejected because of failures or latency; returns through the ramp. */
    SUSPECT,

    /** Gets no new work. */
    LEAVING,
}
