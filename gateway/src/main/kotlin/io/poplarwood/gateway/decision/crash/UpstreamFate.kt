package io.poplarwood.gateway.decision.crash

/** What is known of an upstream since a request at it ended, or lasts, without an answer. */
internal enum class UpstreamFate {
    /** Nothing shows whether the upstream has ended. */
    UNKNOWN,

    /** The upstream accepts new connections. It may have started again meanwhile. */
    PRESUMED_RUNNING,

    /** The upstream was running when it could no longer be executing the request, or answered it. */
    SURVIVED,

    /** The upstream has ended. */
    ENDED,
}
