package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/**
 * Turns what attempts showed into how much work an upstream gets.
 *
 * Answers upstreams that crash, hang or fail part of their requests while their registration and their health look
 * good: consecutive losses put one to rest, an answer ends that, and a share of failures makes it a worse choice
 * without ruling it out.
 */
internal class Suspicion {
    /** Notes that [row] answered a request with success. */
    fun answered(row: UpstreamRow, now: Duration) {
        row.availability.take(AvailabilityInput.Answered, now)
        row.lastAnswerAt = now
        updateFailureRate(row, failure = 0.0)
    }

    /** Notes that [row] refused a request without running it. */
    fun shed(row: UpstreamRow, now: Duration) {
        row.lastAnswerAt = now
        updateFailureRate(row, failure = SHED_WEIGHT)
    }

    /** Notes an answer of [row] that failed at the upstream itself. */
    fun failed(row: UpstreamRow) = updateFailureRate(row, failure = 1.0)

    /** Notes that an attempt at [row] brought no answer. */
    fun lost(row: UpstreamRow, now: Duration) {
        row.availability.take(AvailabilityInput.Lost, now)
        updateFailureRate(row, failure = 1.0)
    }

    private fun updateFailureRate(row: UpstreamRow, failure: Double) {
        row.failureRate += (failure - row.failureRate) * SMOOTHING_FACTOR
    }

    private companion object {
        /** Weight of the newest attempt in the share of bad ones. */
        const val SMOOTHING_FACTOR = 0.15

        /** A shed costs a round trip, not the request. */
        const val SHED_WEIGHT = 0.5
    }
}
