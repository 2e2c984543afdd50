package io.poplarwood.decision.retry

import io.poplarwood.decision.routing.AttemptResult

/**
 * What the attempts of one call have shown so far.
 *
 * @property attempts attempts that were dispatched
 * @property mayHaveRun whether the request may have run in at least one of them
 * @property last result of the latest attempt; null before the first one ended
 */
internal class AttemptHistory {
    var attempts = 0
        private set
    var mayHaveRun = false
        private set
    var last: AttemptResult? = null
        private set

    fun recordStart() {
        attempts++
    }

    fun recordEnd(result: AttemptResult) {
        last = result
        mayHaveRun = mayHaveRun || !result.provenNotRun
    }
}

/** Whether an attempt with this result is known not to have run the request. */
internal val AttemptResult.provenNotRun: Boolean
    get() = this == AttemptResult.BUSY || this == AttemptResult.DRAINING || this == AttemptResult.CONNECT_FAILED

/** Whether the upstream's own response went to the caller. */
internal val AttemptResult.answered: Boolean
    get() = this == AttemptResult.ANSWERED || this == AttemptResult.SERVER_ERROR
