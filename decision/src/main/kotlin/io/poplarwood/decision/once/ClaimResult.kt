package io.poplarwood.decision.once

/** Result of claiming a key that the caller made itself. */
sealed interface ClaimResult {
    /** The table names the owner in [claim], which may be this run of this entry. */
    data class Owned(val claim: IssuedKey) : ClaimResult

    /** The claim was removed while it was read, so its lifetime is over. */
    data object Expired : ClaimResult

    /** The table could not be queried, so the request must not run. */
    data object Unavailable : ClaimResult
}
