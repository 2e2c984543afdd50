package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/**
 * Updates the availability and failure rate of upstreams from the results of attempts.
 *
 * Upstreams may crash, hang or fail a share of their requests while their registration and their health check look
 * good. Consecutive losses eject an upstream and an answer ends the ejection; a share of failures makes an upstream
 * less likely to be selected without excluding it.
 */
internal class OutcomeRecorder {
    /** Records a successful answer of [row]. */
    fun recordSuccess(row: UpstreamRow, now: Duration) {
        row.availability.apply(AvailabilityInput.Answered, now)
        row.lastAnswerAt = now
        updateFailureRate(row, failure = 0.0)
    }

    /** Records that [row] refused a request without executing it. */
    fun recordShed(row: UpstreamRow, now: Duration) {
        row.lastAnswerAt = now
        updateFailureRate(row, failure = SHED_WEIGHT)
    }

    /** Records an answer of [row] that reports a failure of the upstream itself. */
    fun recordFailure(row: UpstreamRow) = updateFailureRate(row, failure = 1.0)

    /** Records that an attempt at [row] brought no answer. */
    fun recordLoss(row: UpstreamRow, now: Duration) {
        row.availability.apply(AvailabilityInput.Lost, now)
        updateFailureRate(row, failure = 1.0)
    }

    private fun updateFailureRate(row: UpstreamRow, failure: Double) {
        row.failureRate += (failure - row.failureRate) * SMOOTHING_FACTOR
    }

    private companion object {
        /** Weight of the newest attempt in the smoothed failure rate. */
        const val SMOOTHING_FACTOR = 0.15

        /** A shed attempt costs only a round trip: the request can still succeed elsewhere. */
        const val SHED_WEIGHT = 0.5
    }
}
