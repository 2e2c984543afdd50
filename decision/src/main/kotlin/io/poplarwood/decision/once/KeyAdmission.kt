package io.poplarwood.decision.once

import kotlinx.coroutines.Deferred

/** Decision of the owner's table about a request with a key. */
sealed interface KeyAdmission {
    /** First arrival: the receiver holds the record, runs the request and must close the record. */
    data object Run : KeyAdmission

    /** A request with the key is in flight; [outcome] is shared with it. */
    class Join(val outcome: Deferred<KeyOutcome>) : KeyAdmission

    /** The final outcome is known. */
    data class Decided(val outcome: KeyOutcome) : KeyAdmission
}
