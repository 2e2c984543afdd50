package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.UpstreamRequest
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the attempts of one request, and gives back what each of them holds when it ends.
 *
 * @param deadline when the caller of the request stops waiting
 * @param onFinished called with each attempt that has a result
 */
internal class AttemptRunner(
    private val handler: RequestHandler,
    private val request: CallerRequest,
    private val route: Route,
    private val service: ServiceName,
    private val report: RequestReport,
    private val deadline: Duration,
    private val onFinished: (Attempt) -> Unit,
) {
    private val ticker = handler.ticker
    private val started = ArrayList<Attempt>(2)

    /** The attempts that have not ended. */
    val running: List<Attempt> get() = started

    /** Whether the request has been answered, so that attempts that are still running were not needed. */
    var requestAnswered: Boolean = false

    /** Starts an attempt at [row], one of whose slots is taken for it; the answer usually takes [usualTime]. */
    fun start(scope: CoroutineScope, row: UpstreamRow, usualTime: Duration) {
        val now = ticker.now()
        val losses = handler.decisions.crashSuspects.lossCount(request.fingerprint, now)
        val attempt = Attempt(row, now, Attempt.describeKnownState(row, now, losses))
        report.attempts += attempt
        report.confirmedMs = handler.configurationAdmission.confirmedMs
        started += attempt
        handler.loadBoard.scheduleUpdate(row)
        handler.attemptFeedback.attemptStarted(attempt, request.fingerprint, deadline)
        handler.reach.attemptStarted(attempt, row, usualTime)
        // A job that is cancelled before it starts never runs, but it completes.
        scope.launch { exchange(attempt) }.invokeOnCompletion { onCompleted(attempt) }
    }

    private suspend fun exchange(attempt: Attempt) {
        val row = attempt.row
        val outbound = UpstreamRequest(request, deadline, row.id) {
            handler.configurationAdmission.maySend(request.arrivedAt)
        }
        val maxIdle = if (route.kind.retryable) MAX_LINK_IDLE_IDEMPOTENT else MAX_LINK_IDLE
        attempt.result = handler.upstreamLinks.exchange(row.record.address, outbound, maxIdle) {
            attempt.connection = it
        }
        attempt.endedAt = ticker.now()
        // Before the slot is granted to a queued request: the upstream may have become unusable.
        handler.attemptFeedback.record(attempt, route, request.fingerprint)
    }

    /** Gives back what [attempt] held, whether it has begun or not. */
    private fun onCompleted(attempt: Attempt) {
        started -= attempt
        releaseSlot(attempt.row)
        when {
            attempt.result != null -> onFinished(attempt)
            requestAnswered -> handler.attemptFeedback.attemptNotNeeded(attempt)
            else -> handler.attemptFeedback.attemptAbandoned(attempt, request.fingerprint, ticker.now())
        }
    }

    /** Gives back a slot at [row] that was taken for this request. */
    fun releaseSlot(row: UpstreamRow) {
        row.ownInFlight--
        handler.loadBoard.scheduleUpdate(row)
        handler.decisions.queue(service).dispatch(ticker.now())
    }

    private companion object {
        /** Network devices on the path may have dropped the state of a connection that was idle for longer. */
        val MAX_LINK_IDLE_IDEMPOTENT = 9.seconds

        /** Shorter, because a request that is not idempotent cannot be retried after its connection is lost. */
        val MAX_LINK_IDLE = 4.seconds
    }
}
