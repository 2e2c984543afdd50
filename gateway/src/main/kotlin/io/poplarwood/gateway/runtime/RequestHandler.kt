package io.poplarwood.gateway.runtime

import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.http.Answer
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.UpstreamLinks
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.peer.LoadBoard
import io.poplarwood.gateway.store.StateBook
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes requests of callers from their arrival to their final answer. */
internal class RequestHandler(
    val book: StateBook,
    val decisions: Decisions,
    val links: UpstreamLinks,
    val loads: LoadBoard,
    val ticker: Ticker,
    val metrics: GatewayMetrics,
    val lessons: AttemptFeedback,
    private val requestLog: RequestLog,
    private val log: EventLog,
) {
    /** Requests that have no final answer yet. */
    var inFlight: Int = 0
        private set

    /** Whether new requests are refused because the process is about to end. */
    var refusing: Boolean = false

    /** Called after the first answer of an upstream. */
    var onFirstAnswer: () -> Unit = {}
    private var answeredOnce = false
    private val runs = LinkedHashSet<RequestRun>()

    /** Gives every request in flight its final answer, since the process is about to end. */
    fun endAll() {
        decisions.refuseWaiting()
        runs.toList().forEach { it.end() }
    }

    /** Answers [request]. */
    suspend fun serve(request: CallerRequest): Answer {
        inFlight++
        loads.served()
        val report = RequestReport(request.id, request.arrived)
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
            requestLog.ended(report)
            if (!answeredOnce && report.outcome == Outcome.ANSWERED) {
                answeredOnce = true
                onFirstAnswer()
            }
        }
    }

    private suspend fun answer(request: CallerRequest, report: RequestReport): Answer {
        if (!book.known.isCompleted) withTimeoutOrNull(STARTING) { book.known.await() }
        val state = book.state ?: return refuse(report, Outcome.NO_STATE, STARTING)
        report.stateVersion = state.version
        if (refusing) return refuse(report, Outcome.STOPPING, ELSEWHERE, close = true)
        val route = book.routes.find(request.host, request.target) ?: return refuse(report, Outcome.NO_ROUTE, null)
        report.route = route
        val service = decisions.splits.next(route)
        report.service = service.value
        report.fingerprint = request.fingerprint
        val now = ticker.now()
        decisions.budget.request(service, now)
        val verdict = decisions.crashes.verdict(request.fingerprint, now)
        if (verdict != CrashVerdict.ADMITTED) return refuse(report, Outcome.CRASHES, pauseAfter(verdict))
        val run = RequestRun(this, request, route, service, report)
        runs += run
        try {
            val end = run.run()
            report.outcome = end.outcome
            return end.answer
        } finally {
            runs -= run
        }
    }

    private fun refuse(report: RequestReport, outcome: Outcome, retryAfter: Duration?, close: Boolean = false): Answer {
        report.outcome = outcome
        return refusal(outcome, retryAfter, close)
    }

    companion object {
        /** An entry that starts knows the desired state within this time when the store answers. */
        private val STARTING = 200.milliseconds

        /** Another entry takes the request at once. */
        private val ELSEWHERE = 10.milliseconds
        private val CRASH_PAUSE = 10_000.milliseconds

        /** By then it is known whether upstreams have ended. */
        private val CRASH_CHECK = 400.milliseconds

        /** When a request that is not sent because of [verdict] may come again. */
        fun pauseAfter(verdict: CrashVerdict): Duration =
            if (verdict == CrashVerdict.REFUSED) CRASH_PAUSE else CRASH_CHECK

        /** An answer of the entry itself. */
        fun refusal(outcome: Outcome, retryAfter: Duration? = null, close: Boolean = false): Answer {
            val body = "{\"outcome\":\"${outcome.label}\"}".encodeToByteArray()
            return Answer(outcome.status, null, body, retryAfter, close)
        }
    }
}
