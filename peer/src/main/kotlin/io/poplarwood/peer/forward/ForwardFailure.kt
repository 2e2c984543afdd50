package io.poplarwood.peer.forward

/** Why a forwarded request got no response. */
enum class ForwardFailure {
    /** The request could not be queued for the owner; nothing of the request was sent. */
    NOT_SENT,

    /** The link or the owner failed after the request was queued; the request may have run. */
    LOST,

    /** The timeout passed before the response head arrived; the request may have run. */
    TIMED_OUT,
}
