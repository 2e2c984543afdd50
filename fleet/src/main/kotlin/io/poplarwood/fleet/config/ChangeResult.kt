package io.poplarwood.fleet.config

/** Outcome of a [ChangeRequest]. */
sealed interface ChangeResult {
    /** The change is written and a majority of the view has it. It never reverts. */
    data class Accepted(val version: Long, val sequence: Long) : ChangeResult

    /** The change is written, but no majority of the view has confirmed it in time. */
    data class Unconfirmed(val version: Long, val sequence: Long) : ChangeResult

    /** Another change won; nothing was written. [differences] lists what it changed, by JSON path. */
    data class Conflict(val winner: DocumentInForce?, val differences: List<Difference>) : ChangeResult

    /** The document is refused; nothing was written. */
    data class Invalid(val faults: List<ConfigFault>) : ChangeResult

    /** The store did not take the change; nothing was written. */
    data object StoreUnavailable : ChangeResult

    /** Too many changes wait here; nothing was written. */
    data object Overloaded : ChangeResult

    /** Whether the change was written is not known; its change id tells once the store answers. */
    data object Unknown : ChangeResult
}
