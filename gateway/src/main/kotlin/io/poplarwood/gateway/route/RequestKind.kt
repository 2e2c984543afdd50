package io.poplarwood.gateway.route

/** How often the requests of a route may be executed. */
enum class RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,

    /** May be executed at most once. */
    NON_IDEMPOTENT,

    /** A large body; may be executed at most once. */
    UPLOAD,

    /** A kind that this code does not know; may be executed at most once, as the strictest known kind. */
    UNKNOWN,
    ;

    /** Whether a request that may have been executed can be sent to another upstream. */
    val retryable: Boolean get() = this == IDEMPOTENT
}
