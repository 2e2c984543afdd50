package io.poplarwood.decision.once

/** Who may run the request of a caller's own key. */
sealed interface ClaimResult {
    /** The table names the owner in [claim], which may be this run. */
    data class Owned(val claim: IssuedKey) : ClaimResult

    /** The claim was removed while it was read, so its lifetime is over. */
    data object Expired : ClaimResult

    /** The table could not be asked. Nothing runs for this request. */
    data object Unavailable : ClaimResult
}
