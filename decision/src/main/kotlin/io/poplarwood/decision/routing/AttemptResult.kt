package io.poplarwood.decision.routing

/** How an attempt ended. */
enum class AttemptResult {
    /** A complete response that is not a server error. */
    ANSWERED,

    /** A complete response that is a server error (status 500 and above). */
    SERVER_ERROR,

    /** The upstream replied that it did not run the request because it is full. */
    BUSY,

    /** The upstream replied that it did not run the request because it is draining. */
    DRAINING,

    /** No connection could be established, so no byte was sent. */
    CONNECT_FAILED,

    /** The connection ended after the first byte was sent and before the response was complete. */
    CONNECTION_LOST,

    /** The connection stopped responding while a new one to the same upstream worked. */
    CONNECTION_SILENT,

    /** No complete response before the deadline. */
    TIMED_OUT,

    /** The caller cancelled the request. */
    CANCELLED,
}
