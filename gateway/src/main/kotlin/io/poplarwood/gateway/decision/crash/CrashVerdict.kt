package io.poplarwood.gateway.decision.crash

/** Whether a request may be sent to an upstream. */
internal enum class CrashVerdict {
    /** No reason to refuse the request. */
    ADMITTED,

    /** Several upstreams were just lost under the request; whether they have crashed is not yet confirmed. */
    HELD,

    /** Several upstreams have crashed under the request. */
    REFUSED,
}
