package io.poplarwood.decision.retry

import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.outcome.RetryReason
import kotlin.time.Duration

/** What follows an attempt that ended. */
internal sealed interface RetryDecision {
    /** The upstream's own response went to the caller. */
    data object Done : RetryDecision

    /** Another attempt after [delay]. */
    data class Retry(val reason: RetryReason, val delay: Duration) : RetryDecision

    /** No further attempt; the caller gets [reason]. */
    data class GiveUp(val reason: RefusalReason) : RetryDecision
}
