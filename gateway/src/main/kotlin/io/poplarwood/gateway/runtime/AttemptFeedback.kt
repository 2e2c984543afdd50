package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.decision.OutcomeRecorder
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.LossCause
import io.poplarwood.gateway.http.NotExecutedCause
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.peer.LoadGossip
import io.poplarwood.gateway.reach.UpstreamReach
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.AvailabilityInput
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamNotice
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/** Feeds the results of attempts back into the routing decisions and to the other entries. */
internal class AttemptFeedback(
    private val decisions: Decisions,
    private val loadBoard: LoadGossip,
    private val crashes: CrashDetector,
    private val availability: AvailabilityTracker,
    private val log: EventLog,
    private val droppedAnswers: DroppedAnswers,
    private val reach: UpstreamReach,
) {
    /** Records that [attempt] of a request with [fingerprint] is sent, whose caller waits until [deadline]. */
    fun attemptStarted(attempt: Attempt, fingerprint: Long, deadline: Duration) =
        crashes.attemptStarted(attempt, fingerprint, deadline)

    /** Whether a request with [fingerprint] may be sent. */
    fun crashVerdict(fingerprint: Long, now: Duration): CrashVerdict = crashes.verdict(fingerprint, now)

    /** Whether a second attempt may be sent while a request with [fingerprint] is in flight. */
    fun maySendSecond(fingerprint: Long): Boolean = crashes.maySendSecond(fingerprint)

    /** Records the result of [attempt], which belongs to a request with [fingerprint]. */
    fun record(attempt: Attempt, route: Route, fingerprint: Long) {
        val row = attempt.row
        val now = checkNotNull(attempt.endedAt)
        if (attempt.result !is AttemptResult.Lost) crashes.attemptReplied(attempt, now)
        recordReach(attempt)
        when (val result = attempt.result) {
            is AttemptResult.Answered -> onAnswered(attempt, result, route, fingerprint, now)
            is AttemptResult.NotExecuted -> onNotExecuted(attempt, result, now)
            is AttemptResult.Lost -> onLost(attempt, result.cause, fingerprint, now)
            AttemptResult.NotSent -> {
                updateSuspicion(attempt, now) { recordLoss(row, now) }
                crashes.connectFailed(row)
            }
            AttemptResult.Withheld, null -> Unit
        }
    }

    private fun recordReach(attempt: Attempt) {
        val result = attempt.result
        when {
            result is AttemptResult.Answered || result is AttemptResult.NotExecuted ->
                reach.attemptAnswered(attempt, attempt.row)
            result is AttemptResult.NotSent -> reach.attemptFailed(attempt, attempt.row)
            result is AttemptResult.Lost && result.cause == LossCause.CONNECTION_LOST ->
                reach.attemptFailed(attempt, attempt.row)
            else -> reach.attemptEnded(attempt, attempt.row)
        }
    }

    private fun onLost(attempt: Attempt, cause: LossCause, fingerprint: Long, now: Duration) {
        // Says nothing about the upstream, good or bad.
        if (cause == LossCause.NO_MEMORY) {
            crashes.attemptReplied(attempt, now)
            return droppedAnswers.record(now)
        }
        updateSuspicion(attempt, now) { recordLoss(attempt.row, now) }
        if (cause == LossCause.GARBLED) {
            crashes.replyGarbled(attempt, fingerprint, now)
        } else {
            crashes.linkLost(attempt, fingerprint, now)
        }
    }

    private inline fun updateSuspicion(attempt: Attempt, now: Duration, change: OutcomeRecorder.() -> Unit) =
        availability.trackChange(attempt.row, attempt.describeResult(), AvailabilityTracker.SOURCE_SELF, now) {
            decisions.suspicion.change()
        }

    /** Records that another attempt of the request of [attempt] was answered. */
    fun attemptNotNeeded(attempt: Attempt) {
        reach.attemptEnded(attempt, attempt.row)
        crashes.attemptNotNeeded(attempt)
    }

    /** Records that a request with [fingerprint] ended without an answer while [attempt] was running. */
    fun attemptAbandoned(attempt: Attempt, fingerprint: Long, now: Duration) {
        reach.attemptAbandoned(attempt, attempt.row)
        crashes.requestAbandoned(attempt, fingerprint, now)
    }

    private fun onAnswered(
        attempt: Attempt,
        result: AttemptResult.Answered,
        route: Route,
        fingerprint: Long,
        now: Duration,
    ) {
        recordSlowness(attempt.row, result.load, now)
        applyNotice(attempt, result.notice, now, endsLimit = result.status < FIRST_SERVER_ERROR)
        if (result.status >= FIRST_SERVER_ERROR) {
            decisions.suspicion.recordFailure(attempt.row)
        } else {
            clearLosses(fingerprint, result.status, now)
            updateSuspicion(attempt, now) { recordSuccess(attempt.row, now) }
            recordWorkTime(
                attempt,
                route,
                now,
                attempt.row.slownessNear(attempt.sentAt) ?: result.load?.slowness ?: 1.0,
            )
        }
    }

    /**
     * Clears losses counted against a request. Only a successful answer shows that the request does not crash
     * upstreams: an upstream whose answer failed may not have run the request.
     */
    private fun clearLosses(fingerprint: Long, status: Int, now: Duration) {
        val losses = crashes.requestAnswered(fingerprint, now)
        if (losses > 0) log.log(GatewayEvent.CRASH_CLEARED, java.lang.Long.toHexString(fingerprint), status, losses)
    }

    private fun onNotExecuted(attempt: Attempt, result: AttemptResult.NotExecuted, now: Duration) {
        val row = attempt.row
        recordSlowness(row, result.load, now)
        if (result.cause == NotExecutedCause.OTHER_UPSTREAM) {
            crashes.upstreamEnded(row)
            availability.update(row, AvailabilityInput.AddressConflict, now)
        } else {
            applyNotice(attempt, result.notice, now, endsLimit = false)
            decisions.suspicion.recordShed(row, now)
        }
    }

    private fun applyNotice(attempt: Attempt, notice: UpstreamNotice, now: Duration, endsLimit: Boolean) {
        availability.applyNotice(attempt.row, notice, attempt.sentAt, now, endsLimit)
        if (notice.draining) loadBoard.scheduleUpdate(attempt.row)
    }

    private fun recordSlowness(row: UpstreamRow, load: LoadReport?, now: Duration) {
        load?.slowness?.let { loadBoard.recordSlowness(row, it, now) }
    }

    private fun recordWorkTime(attempt: Attempt, route: Route, now: Duration, slowness: Double) {
        val took = now - attempt.sentAt
        val ratio = took / slowness.coerceAtLeast(1.0) / decisions.workTimes.mean(route)
        decisions.workTimes.record(route, took, slowness)
        val row = attempt.row
        val concurrency = maxOf(attempt.inFlightAtStart, row.inFlight)
        decisions.placement.concurrencyModel.record(row.record.service, concurrency, row.record.slots, ratio)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
