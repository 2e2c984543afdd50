package io.poplarwood.decision.once

import kotlinx.coroutines.Deferred

/** What the owner's table says about a key that arrives. */
sealed interface KeyAdmission {
    /** First arrival: the receiver holds the record, runs the request and must close the record. */
    data object Run : KeyAdmission

    /** The request is in flight; [outcome] is shared with the one that runs. */
    class Join(val outcome: Deferred<KeyOutcome>) : KeyAdmission

    /** The final answer. */
    data class Decided(val outcome: KeyOutcome) : KeyAdmission
}
