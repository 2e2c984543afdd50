package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.math.min
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Turns what attempts showed into how much work an upstream gets.
 *
 * Answers upstreams that crash, hang or fail part of their requests while their registration and their health look
 * good: consecutive losses put one to rest for a time that doubles, an answer ends it, and a share of failures makes it
 * a worse choice without ruling it out.
 */
internal class Suspicion {
    /** Notes that [row] answered a request with success. */
    fun answered(row: UpstreamRow, now: Duration) {
        row.failures = 0
        row.lastAnswerAt = now
        row.restUntil = -Duration.INFINITE
        note(row, bad = 0.0)
    }

    /** Notes that [row] refused a request without running it. */
    fun shed(row: UpstreamRow, now: Duration) {
        row.lastAnswerAt = now
        note(row, bad = SHED_WEIGHT)
    }

    /** Notes an answer of [row] that failed at the upstream itself. */
    fun failed(row: UpstreamRow) = note(row, bad = 1.0)

    /** Notes that an attempt at [row] brought no answer. */
    fun lost(row: UpstreamRow, now: Duration) {
        row.failures++
        note(row, bad = 1.0)
        if (row.failures < FAILURES_TO_REST) return
        val rest = FIRST_REST * 2.0.pow(min(row.failures - FAILURES_TO_REST, MAX_DOUBLINGS))
        row.restUntil = now + rest
    }

    private fun note(row: UpstreamRow, bad: Double) {
        row.badShare += (bad - row.badShare) * LEARNING
    }

    private companion object {
        /** Weight of the newest attempt in the share of bad ones. */
        const val LEARNING = 0.15

        /** A shed costs a round trip, not the request. */
        const val SHED_WEIGHT = 0.5

        /** One lost connection may be the path's fault; two in a row are the upstream's. */
        const val FAILURES_TO_REST = 2
        val FIRST_REST = 400.milliseconds
        const val MAX_DOUBLINGS = 3
    }
}
