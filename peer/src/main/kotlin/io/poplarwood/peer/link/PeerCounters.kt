package io.poplarwood.peer.link

/** Counters of the links of an entry; implementations must not block. */
interface PeerCounters {
    /** Counts a rejected link or a dropped message. */
    fun rejected(reason: Rejection)

    /** Counts [bytes] sent, length fields included. */
    fun sent(bytes: Int)

    /** Counts [bytes] received, length fields included. */
    fun received(bytes: Int)
}
