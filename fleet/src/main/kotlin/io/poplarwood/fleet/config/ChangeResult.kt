package io.poplarwood.fleet.config

/** Outcome of a [ChangeRequest]. */
sealed interface ChangeResult {
    /** The change is written and a majority of the view has it in force. An accepted change is never reverted. */
    data class Accepted(val version: Long, val sequence: Long) : ChangeResult

    /** The change is written, but no majority of the view confirmed it before the timeout. */
    data class Unconfirmed(val version: Long, val sequence: Long) : ChangeResult

    /** Another change was written first, and this one was not. [differences] compares both documents, by JSON path. */
    data class Conflict(val winner: DocumentInForce?, val differences: List<Difference>) : ChangeResult

    /** The document failed validation; nothing was written. */
    data class Invalid(val faults: List<ConfigFault>) : ChangeResult

    /** The store did not accept the change before the timeout; nothing was written. */
    data object StoreUnavailable : ChangeResult

    /** The queue of changes at this entry is full; nothing was written. */
    data object Overloaded : ChangeResult

    /** Unknown whether the change was written; the history shows its change id if so, once the store answers. */
    data object Unknown : ChangeResult
}
