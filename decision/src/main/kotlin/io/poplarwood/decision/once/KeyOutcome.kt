package io.poplarwood.decision.once

import io.poplarwood.api.outcome.RefusalReason

/** How a request with a key ended, as its resends see it. */
sealed interface KeyOutcome {
    /** The upstream responded. [answer] is null when the response was too large to keep. */
    data class Answered(val answer: StoredResponse?) : KeyOutcome

    /** The load balancer responded. */
    data class Refused(val reason: RefusalReason) : KeyOutcome
}
