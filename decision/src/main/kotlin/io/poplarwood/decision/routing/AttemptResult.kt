package io.poplarwood.decision.routing

/** How an attempt ended. */
enum class AttemptResult {
    /** A whole answer that is not a server error. */
    ANSWERED,

    /** A whole answer that is a server error (status 500 and above). */
    SERVER_ERROR,

    /** The upstream said that it did not start because it is full. */
    BUSY,

    /** The upstream said that it did not start because it is leaving. */
    DRAINING,

    /** No connection could be made; no byte was sent. */
    CONNECT_FAILED,

    /** The connection ended after the first byte was sent and before the answer was whole. */
    CONNECTION_LOST,

    /** The connection went silent while a new one to the same upstream worked. */
    CONNECTION_SILENT,

    /** No answer before the deadline. */
    TIMED_OUT,

    /** The caller gave up. */
    CANCELLED,
}
