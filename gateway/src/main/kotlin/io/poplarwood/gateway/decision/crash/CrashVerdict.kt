package io.poplarwood.gateway.decision.crash

/** Whether a request may be sent to an upstream. */
internal enum class CrashVerdict {
    /** Nothing speaks against it. */
    ADMITTED,

    /** It lost several upstreams just now; whether they have ended will be known shortly. */
    HELD,

    /** Several upstreams have ended under it. */
    REFUSED,
}
