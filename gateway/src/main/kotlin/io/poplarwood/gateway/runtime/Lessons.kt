package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.LossCause
import io.poplarwood.gateway.http.NotExecutedCause
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.peer.LoadBoard
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.LoadReport
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/** Hands what attempts showed of their upstreams to the decisions and to the other entries. */
internal class Lessons(
    private val decisions: Decisions,
    private val loads: LoadBoard,
    private val crashes: CrashWatch,
    private val log: EventLog,
) {
    /** Takes over the end of [attempt] of a request with [fingerprint]. */
    fun learn(attempt: Attempt, route: Route, fingerprint: Long) {
        val row = attempt.row
        val now = checkNotNull(attempt.endedAt)
        val resting = row.restUntil
        when (val result = attempt.result) {
            is AttemptResult.Answered -> answered(attempt, result, route, fingerprint, now)
            is AttemptResult.NotExecuted -> notExecuted(row, result, now)
            is AttemptResult.Lost -> {
                decisions.suspicion.lost(row, now)
                if (result.cause != LossCause.GARBLED) crashes.lost(row, fingerprint, attempt.since, now)
            }
            AttemptResult.NotSent -> {
                decisions.suspicion.lost(row, now)
                crashes.unreachable(row, now)
            }
            null -> Unit
        }
        tell(row, resting, now)
    }

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
        if (result.status >= FIRST_SERVER_ERROR) {
            decisions.suspicion.failed(attempt.row)
        } else {
            clear(fingerprint, result.status, now)
            decisions.suspicion.answered(attempt.row, now)
            worked(attempt, route, now, attempt.row.slownessNear(attempt.sentAt) ?: result.load?.slowness ?: 1.0)
        }
    }

    /** Only an answer that did not fail says that the request ends no upstream: a failing one may not have run it. */
    private fun clear(fingerprint: Long, status: Int, now: Duration) {
        val losses = decisions.crashes.answered(fingerprint, now)
        if (losses > 0) log.log(GatewayEvent.CRASH_CLEARED, java.lang.Long.toHexString(fingerprint), status, losses)
    }

    private fun notExecuted(row: UpstreamRow, result: AttemptResult.NotExecuted, now: Duration) {
        reported(row, result.load, now)
        if (result.cause == NotExecutedCause.OTHER_UPSTREAM) {
            row.goneAt = now
            log.log(GatewayEvent.UPSTREAM_GONE, row.id, row.record.service, "another lives at its address", null)
        } else {
            decisions.suspicion.shed(row, now)
        }
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

    private fun tell(row: UpstreamRow, resting: Duration, now: Duration) {
        val rests = row.restUntil > now
        when {
            rests && resting < now ->
                log.log(GatewayEvent.UPSTREAM_RESTS, row.id, row.failures, (row.restUntil - now).inWholeMilliseconds)
            !rests && resting > -Duration.INFINITE && row.restUntil == -Duration.INFINITE ->
                log.log(GatewayEvent.UPSTREAM_BACK, row.id)
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
