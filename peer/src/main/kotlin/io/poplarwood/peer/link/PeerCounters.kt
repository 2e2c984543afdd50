package io.poplarwood.peer.link

/** Where links report what they count; implementations must not block. */
interface PeerCounters {
    /** A link or message was rejected. */
    fun rejected(reason: Rejection)

    /** [bytes] were sent, lengths included. */
    fun sent(bytes: Int)

    /** [bytes] were received, lengths included. */
    fun received(bytes: Int)
}
