package io.poplarwood.peer.forward

/** Why a forwarded request has no answer. */
enum class ForwardFailure {
    /** The owner was not reached; nothing of the request was sent. */
    NOT_SENT,

    /** The link or the owner failed after the request was sent; whether it ran is not known. */
    LOST,

    /** The deadline passed; whether it ran is not known. */
    TIMED_OUT,
}
