package io.poplarwood.gateway.metrics

/**
 * What became of a transfer of a configuration change between entries. The names in lower case are values of the
 * `event` label.
 */
internal enum class TransferEvent {
    /** This entry sent a piece. */
    SENT,

    /** This entry told a peer to ask elsewhere. */
    BUSY,

    /** This entry received a whole change. */
    RECEIVED,

    /** A peer did not send a piece in time, or sent one that cannot be used. */
    FAILED,
}
