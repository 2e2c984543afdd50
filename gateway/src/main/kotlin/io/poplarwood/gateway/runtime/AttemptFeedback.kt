package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.decision.Suspicion
import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.LossCause
import io.poplarwood.gateway.http.NotExecutedCause
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.peer.LoadBoard
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamNotice
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/** Hands what attempts showed of their upstreams to the decisions and to the other entries. */
internal class AttemptFeedback(
    private val decisions: Decisions,
    private val loads: LoadBoard,
    private val crashes: CrashDetector,
    private val states: AvailabilityTracker,
    private val log: EventLog,
) {
    /** Takes over the end of [attempt] of a request with [fingerprint]. */
    fun learn(attempt: Attempt, route: Route, fingerprint: Long) {
        val row = attempt.row
        val now = checkNotNull(attempt.endedAt)
        when (val result = attempt.result) {
            is AttemptResult.Answered -> answered(attempt, result, route, fingerprint, now)
            is AttemptResult.NotExecuted -> notExecuted(row, result, now)
            is AttemptResult.Lost -> {
                judge(attempt, now) { lost(row, now) }
                if (result.cause != LossCause.GARBLED) crashes.lost(row, fingerprint, attempt.since, now)
            }
            AttemptResult.NotSent -> {
                judge(attempt, now) { lost(row, now) }
                crashes.unreachable(row, now)
            }
            null -> Unit
        }
    }

    private inline fun judge(attempt: Attempt, now: Duration, change: Suspicion.() -> Unit) =
        states.follow(attempt.row, attempt.describeResult(), AvailabilityTracker.SELF, now) { decisions.suspicion.change() }

    /** Takes over that a request with [fingerprint] ended without an answer while [attempt] was running. */
    fun abandoned(attempt: Attempt, fingerprint: Long, now: Duration) =
        crashes.abandoned(attempt.row, fingerprint, attempt.since, now)

    private fun answered(
        attempt: Attempt,
        result: AttemptResult.Answered,
        route: Route,
        fingerprint: Long,
        now: Duration,
    ) {
        reported(attempt.row, result.load, now)
        noticed(attempt.row, result.notice, now)
        if (result.status >= FIRST_SERVER_ERROR) {
            decisions.suspicion.failed(attempt.row)
        } else {
            clear(fingerprint, result.status, now)
            judge(attempt, now) { answered(attempt.row, now) }
            worked(attempt, route, now, attempt.row.slownessNear(attempt.sentAt) ?: result.load?.slowness ?: 1.0)
        }
    }

    /** Only an answer that did not fail says that the request ends no upstream: a failing one may not have run it. */
    private fun clear(fingerprint: Long, status: Int, now: Duration) {
        val losses = crashes.answered(fingerprint, now)
        if (losses > 0) log.log(GatewayEvent.CRASH_CLEARED, java.lang.Long.toHexString(fingerprint), status, losses)
    }

    private fun notExecuted(row: UpstreamRow, result: AttemptResult.NotExecuted, now: Duration) {
        reported(row, result.load, now)
        if (result.cause == NotExecutedCause.OTHER_UPSTREAM) {
            states.take(row, AvailabilityInput.AnotherAtItsAddress, now)
        } else {
            noticed(row, result.notice, now)
            decisions.suspicion.shed(row, now)
        }
    }

    private fun noticed(row: UpstreamRow, notice: UpstreamNotice, now: Duration) {
        states.noticed(row, notice, now)
        if (notice.leaving) loads.changed(row)
    }

    private fun reported(row: UpstreamRow, load: LoadReport?, now: Duration) {
        load?.slowness?.let { loads.slowness(row, it, now) }
    }

    private fun worked(attempt: Attempt, route: Route, now: Duration, slowness: Double) {
        val took = now - attempt.sentAt
        val ratio = took / slowness.coerceAtLeast(1.0) / decisions.work.usual(route)
        decisions.work.note(route, took, slowness)
        val row = attempt.row
        val held = maxOf(attempt.heldAtStart, row.inFlight + 1)
        decisions.placement.crowding.note(row.record.service, held, row.record.slots, ratio)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
