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

    ;

    companion object {
        /** The match of an answer that echoes [echoedId], during a request; [late] if that names another request. */
        fun of(echoedId: String?, late: Boolean): AnswerMatch = when {
            echoedId == null -> UNNAMED
            late -> LATE
            else -> OWN
        }
    }
}
