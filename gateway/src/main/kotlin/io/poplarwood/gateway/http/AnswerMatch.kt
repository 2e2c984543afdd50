package io.poplarwood.gateway.http

/** How an answer was matched to a request. The names in lower case are values of the `match` label. */
internal enum class AnswerMatch {
    /** It names the request in flight. */
    OWN,

    /** It names another request than the one in flight. */
    LATE,

    /** It names no request. */
    UNNAMED,

    /** No request was in flight. */
    IDLE,
}
