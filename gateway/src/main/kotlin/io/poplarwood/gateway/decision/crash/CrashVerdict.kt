package io.poplarwood.gateway.decision.crash

/** Whether a request may be sent to an upstream. */
internal enum class CrashVerdict {
    /** No reason to refuse the request. */
    ADMITTED,

    /** Several upstreams may have crashed under the request; whether they did is not known yet. */
    HELD,

    /** Several upstreams have crashed under the request. */
    REFUSED,
}
