package io.poplarwood.gateway.route

/** What the requests of a route allow. */
enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** May run once at most. */
    NON_IDEMPOTENT,

    /** A large body; may run once at most. */
    UPLOAD,
    ;

    /** Whether a request that may have run can be sent to another upstream. */
    val repeatable: Boolean get() = this == IDEMPOTENT
}
