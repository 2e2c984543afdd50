package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.CallerResponse
import io.poplarwood.gateway.http.HeaderNames
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.LoadGossip
import io.poplarwood.gateway.reach.UpstreamReach
import io.poplarwood.gateway.relay.RelayPath
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.store.StateReplica
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Processes callers' requests from their arrival to their final answer. */
internal class RequestHandler(
    val stateBook: StateReplica,
    val decisions: Decisions,
    val upstreamLinks: UpstreamConnectionPool,
    val loadBoard: LoadGossip,
    val ticker: Ticker,
    val metrics: GatewayMetrics,
    val attemptFeedback: AttemptFeedback,
    val configurationAdmission: ConfigurationAdmission,
    val headerNames: HeaderNames,
    val reach: UpstreamReach,
    private val relayPath: RelayPath,
    private val requestLog: RequestLog,
    private val log: EventLog,
) {
    /** Number of requests without a final answer. */
    var inFlight: Int = 0
        private set

    /** Whether new requests are refused because the process is about to end. */
    var refusingNew: Boolean = false

    /** Called once, after the first request that an upstream answered. */
    var onFirstAnswer: () -> Unit = {}
    private var firstAnswerSent = false
    private val activeRuns = LinkedHashSet<RequestRun>()

    /** Gives every request in flight its final answer at once, because the process is about to end. */
    fun finishAll() {
        decisions.refuseQueued()
        activeRuns.toList().forEach { it.finishNow() }
    }

    /** Sends requests for [service] that wait for upstreams on by way of other entries, where that is allowed. */
    fun pathLost(service: ServiceName) =
        activeRuns.filter { it.service == service }.forEach { it.pathLost() }

    /** Processes [request] and returns its final answer. */
    suspend fun serve(request: CallerRequest): CallerResponse {
        inFlight++
        loadBoard.countRequest()
        val report = RequestReport(request.id, request.arrivedAt)
        try {
            val answer = answer(request, report)
            report.status = answer.status
            return answer
        } catch (e: CancellationException) {
            report.outcome = Outcome.CALLER_LEFT
            throw e
        } catch (e: Exception) {
            log.log(GatewayEvent.FAILED, "request ${request.id}", e.stackTraceToString())
            report.outcome = Outcome.FAILED
            report.status = Outcome.FAILED.status
            return refusal(Outcome.FAILED)
        } finally {
            inFlight--
            requestLog.requestEnded(report)
            if (!firstAnswerSent && report.outcome == Outcome.ANSWERED) {
                firstAnswerSent = true
                onFirstAnswer()
            }
        }
    }

    private suspend fun answer(request: CallerRequest, report: RequestReport): CallerResponse {
        if (!stateBook.initialized.isCompleted) withTimeoutOrNull(STATE_TIMEOUT) { stateBook.initialized.await() }
        val state = stateBook.state ?: return refuse(report, Outcome.NO_STATE, STATE_TIMEOUT)
        report.stateVersion = state.version
        if (refusingNew) return refuse(report, Outcome.STOPPING, OTHER_ENTRY_RETRY_AFTER, close = true)
        val route = stateBook.routes.find(request.host, request.target)
        report.route = route
        report.confirmedMs = configurationAdmission.confirmedMs
        val freshness = configurationAdmission.verdict(route != null)
        if (route == null || freshness != FreshnessVerdict.SERVE) return refuseFor(freshness, report)
        if (!route.readable) return refuse(report, Outcome.UNREADABLE_ROUTE, UNREADABLE_ROUTE_RETRY_AFTER)
        return forward(request, route, report)
    }

    private suspend fun forward(request: CallerRequest, route: Route, report: RequestReport): CallerResponse {
        val service = decisions.splitPicker.next(route)
        report.service = service.value
        report.fingerprint = request.fingerprint
        val now = ticker.now()
        // The first entry has counted a request that comes by way of it.
        if (request.hop == null) decisions.retryBudget.recordRequest(service, now)
        val verdict = attemptFeedback.crashVerdict(request.fingerprint, now)
        if (verdict != CrashVerdict.ADMITTED) return refuse(report, Outcome.CRASHES, retryAfterOf(verdict))
        val result = runHereOrElsewhere(request, route, service, report)
        report.outcome = result.outcome
        return result.answer
    }

    private suspend fun runHereOrElsewhere(
        request: CallerRequest,
        route: Route,
        service: ServiceName,
        report: RequestReport,
    ): RequestResult {
        val mayHop = request.hop == null
        if (mayHop && reach.isCut(service)) {
            val elsewhere = relayPath.runOf(this, request, route, report)
            elsewhere.run(ExecutionEvidence(), route.maxAttempts)?.let { return it }
        }
        val run = RequestRun(this, request, route, service, report)
        val result = runHere(run)
        if (!mayHop || !run.mayRunElsewhere(result)) return result
        val elsewhere = relayPath.runOf(this, request, route, report)
        return elsewhere.run(run.evidence, run.attemptsLeft) ?: result
    }

    private suspend fun runHere(run: RequestRun): RequestResult {
        activeRuns += run
        try {
            return run.run()
        } finally {
            activeRuns -= run
        }
    }

    private fun refuseFor(verdict: FreshnessVerdict, report: RequestReport) = when (verdict) {
        FreshnessVerdict.SERVE, FreshnessVerdict.NOT_FOUND -> refuse(report, Outcome.NO_ROUTE, null)
        FreshnessVerdict.REFUSE_FOR_OTHER_ENTRY -> refuse(report, Outcome.BEHIND, OTHER_ENTRY_RETRY_AFTER)
        FreshnessVerdict.REFUSE_UNTIL_CONFIRMED -> refuse(report, Outcome.BEHIND, UNCONFIRMED_RETRY_AFTER)
    }

    private fun refuse(
        report: RequestReport,
        outcome: Outcome,
        retryAfter: Duration?,
        close: Boolean = false,
    ): CallerResponse {
        report.outcome = outcome
        return refusal(outcome, retryAfter, close)
    }

    companion object {
        /** Time within which a starting entry gets the desired state if the store answers. */
        private val STATE_TIMEOUT = 200.milliseconds

        /** Short, because another entry can take the request at once. */
        val OTHER_ENTRY_RETRY_AFTER = 10.milliseconds

        /** Longer, because no entry is known that can tell whether the route was added. */
        private val UNCONFIRMED_RETRY_AFTER = 200.milliseconds

        /** An entry whose code is newer may take the request; when none is, retries in quick succession are useless. */
        private val UNREADABLE_ROUTE_RETRY_AFTER = 500.milliseconds
        private val CRASH_REFUSED_RETRY_AFTER = 10_000.milliseconds

        /** Within this time the checks show whether the upstreams have ended. */
        private val CRASH_CHECK_RETRY_AFTER = 400.milliseconds

        /** Time after which a caller may retry a request that was not sent because of [verdict]. */
        fun retryAfterOf(verdict: CrashVerdict): Duration =
            if (verdict == CrashVerdict.REFUSED) CRASH_REFUSED_RETRY_AFTER else CRASH_CHECK_RETRY_AFTER

        /** The reply that the entry itself generates for [outcome]. */
        fun refusal(outcome: Outcome, retryAfter: Duration? = null, close: Boolean = false): CallerResponse {
            val body = "{\"outcome\":\"${outcome.label}\"}".encodeToByteArray()
            return CallerResponse(outcome.status, null, body, retryAfter, close)
        }
    }
}
