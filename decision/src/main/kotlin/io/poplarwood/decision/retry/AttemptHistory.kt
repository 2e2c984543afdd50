package io.poplarwood.decision.retry

import io.poplarwood.decision.routing.AttemptResult

/**
 * What the attempts of one call have shown so far.
 *
 * @property attempts attempts that were dispatched
 * @property mayHaveRun whether at least one of them is not proven not to have run
 * @property last result of the latest one; null before the first ended
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

/** True when the request is known not to have run in an attempt that ended so. */
internal val AttemptResult.provenNotRun: Boolean
    get() = this == AttemptResult.BUSY || this == AttemptResult.DRAINING || this == AttemptResult.CONNECT_FAILED

/** True when the upstream's own answer went to the caller. */
internal val AttemptResult.answered: Boolean
    get() = this == AttemptResult.ANSWERED || this == AttemptResult.SERVER_ERROR
