package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.RequestEstimate
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.LossCause
import io.poplarwood.gateway.http.NotExecutedCause
import io.poplarwood.gateway.metrics.RetryReason
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Executes one request: makes its attempts until the request has a final answer.
 *
 * A request that may have run is retried only if its route allows it. Every attempt beyond the first is charged to the
 * retry budget that all entries share, except an attempt that replaces one whose connection could not be opened.
 */
internal class RequestRun(
    private val handler: RequestHandler,
    private val request: CallerRequest,
    private val route: Route,
    val service: ServiceName,
    private val report: RequestReport,
) {
    private val ticker = handler.ticker
    private val decisions = handler.decisions
    private val deadline = request.deadline(route.timeout)
    private val maxAttempts = minOf(route.maxAttempts, request.hop?.attemptsLeft ?: route.maxAttempts)
    private val targetAt = request.arrivedAt + route.target * TARGET_SHARE
    private val job: RequestEstimate get() = RequestEstimate(decisions.workTimes.mean(route), request.body.size)
    private val secondAttempts = SecondAttempts(decisions, route, service, targetAt)
    private val triedUpstreams = HashSet(request.hop?.sentTo.orEmpty())
    private val attempts = AttemptRunner(handler, request, route, service, report, deadline, ::onFinished)
    private val finishedAttempts = ArrayDeque<Attempt>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var sentCount = 0
    private var connectFailures = 0
    private var finishRequested = false
    private var pathLost = false
    private var handedOver = false

    /** What the attempts so far have shown. */
    val evidence = ExecutionEvidence()

    /** Number of upstreams that this request may still be sent to. */
    val attemptsLeft: Int get() = maxAttempts - sentCount

    /** Ends the request at once with the best answer known so far. */
    fun finishNow() {
        finishRequested = true
        wakeUp.trySend(Unit)
    }

    /** Ends the request here if it may be sent on by way of another entry, because this one cannot reach upstreams. */
    fun pathLost() {
        pathLost = true
        wakeUp.trySend(Unit)
    }

    /** Whether this request, which ended here with [result], may be sent on by way of another entry. */
    fun mayRunElsewhere(result: RequestResult): Boolean = handedOver || when (result.outcome) {
        Outcome.NOT_SENT -> handler.reach.othersMayReach(service)
        Outcome.NO_UPSTREAM -> handler.reach.isCut(service)
        else -> false
    }

    /** Runs the request until it has a final answer. */
    suspend fun run(): RequestResult = coroutineScope {
        try {
            (startFirstAttempt() ?: awaitAttempts()).also {
                attempts.requestAnswered = it.outcome == Outcome.ANSWERED && it.answer.status < FIRST_SERVER_ERROR
            }
        } finally {
            coroutineContext.cancelChildren()
        }
    }

    /** Starts the first attempt; returns the final result if no attempt can be made, else null. */
    private suspend fun CoroutineScope.startFirstAttempt(): RequestResult? {
        val decision = withTimeoutOrNull(deadline - ticker.now()) { awaitSlot() }
        report.queuedFor = ticker.now() - request.arrivedAt
        return when (decision) {
            null -> evidence.refuse(Outcome.EXPIRED, DEFAULT_RETRY_AFTER)
            is SlotDecision.Overloaded -> evidence.refuse(Outcome.FULL, decision.retryAfter)
            is SlotDecision.RateLimited -> evidence.refuse(Outcome.RATE_LIMITED, decision.retryAfter)
            is SlotDecision.NoUpstream ->
                evidence.refuse(Outcome.NO_UPSTREAM, decision.retryAfter ?: NO_UPSTREAM_RETRY_AFTER)
            is SlotDecision.Granted -> startOrRefuse(decision.row)
        }
    }

    /**
     * Checks again what may have changed while this request was queued: upstreams may have ended under equal requests,
     * and another entry may have a newer configuration.
     */
    private fun CoroutineScope.startOrRefuse(row: UpstreamRow): RequestResult? {
        val verdict = crashVerdict
        if (verdict != CrashVerdict.ADMITTED) {
            attempts.releaseSlot(row)
            return evidence.refuse(Outcome.CRASHES, RequestHandler.retryAfterOf(verdict))
        }
        if (!handler.configurationAdmission.maySend(request.arrivedAt)) {
            attempts.releaseSlot(row)
            return evidence.refuse(Outcome.BEHIND, RequestHandler.OTHER_ENTRY_RETRY_AFTER)
        }
        if (request.hop == null && handler.reach.isCut(service)) {
            attempts.releaseSlot(row)
            return evidence.refuse(Outcome.NOT_SENT, DEFAULT_RETRY_AFTER)
        }
        startAttempt(row)
        return null
    }

    private val crashVerdict get() = handler.attemptFeedback.crashVerdict(request.fingerprint, ticker.now())

    private suspend fun CoroutineScope.awaitAttempts(): RequestResult {
        while (true) {
            val attempt = finishedAttempts.removeFirstOrNull()
            if (attempt != null) {
                onAttemptEnded(attempt)?.let { return it }
                continue
            }
            val now = ticker.now()
            if (now >= deadline || finishRequested) return finishUnanswered()
            if (pathLost) handOver()?.let { return it }
            val wakeAt = minOf(deadline, nextSecondAttemptCheck(now))
            withTimeoutOrNull(wakeAt - now) { wakeUp.receive() }
            if (finishedAttempts.isEmpty()) considerSecondAttempt()
        }
    }

    /** Gives up the attempts at upstreams that this entry cannot reach, if the request may be sent to another one. */
    private fun handOver(): RequestResult? {
        pathLost = false
        val othersLeft = decisions.upstreams.of(service).any { it.id !in report.sentTo }
        val allowed = request.hop == null && route.kind.retryable && attemptsLeft > 0 && othersLeft
        if (!allowed || !decisions.retryBudget.tryAcquire(service, ticker.now())) return null
        handedOver = true
        evidence.mayHaveRun = true
        return evidence.uncertain(Outcome.LOST)
    }

    /** Handles an attempt that ended; returns null while the request continues. */
    private suspend fun CoroutineScope.onAttemptEnded(attempt: Attempt): RequestResult? =
        when (val result = checkNotNull(attempt.result)) {
            is AttemptResult.Answered -> onAnswered(result)
            is AttemptResult.NotExecuted -> onNotExecuted(result)
            AttemptResult.NotSent -> {
                sentCount--
                connectFailures++
                retry(RetryReason.NOT_SENT) ?: ifNothingRuns { evidence.refuse(Outcome.NOT_SENT, DEFAULT_RETRY_AFTER) }
            }
            AttemptResult.Withheld -> {
                sentCount--
                val outcome = if (ticker.now() >= deadline) Outcome.EXPIRED else Outcome.BEHIND
                ifNothingRuns { evidence.refuse(outcome, RequestHandler.OTHER_ENTRY_RETRY_AFTER) }
            }
            is AttemptResult.Lost -> {
                evidence.mayHaveRun = true
                val outcome = if (result.cause == LossCause.NO_MEMORY) Outcome.NO_MEMORY else Outcome.LOST
                // The answer to another attempt would most likely find the memory full as well.
                val retryable = route.kind.retryable && outcome == Outcome.LOST
                val retried = if (retryable) retry(RetryReason.LOST) else null
                retried ?: ifNothingRuns { evidence.uncertain(outcome) }
            }
        }

    private suspend fun CoroutineScope.onAnswered(result: AttemptResult.Answered): RequestResult? {
        evidence.mayHaveRun = true
        if (result.status < FIRST_SERVER_ERROR || !route.kind.retryable) return evidence.forward(result)
        evidence.failure = result
        return retry(RetryReason.FAILED) ?: ifNothingRuns { evidence.forward(result) }
    }

    private suspend fun CoroutineScope.onNotExecuted(result: AttemptResult.NotExecuted): RequestResult? {
        val reason = if (result.cause == NotExecutedCause.SHED) RetryReason.SHED else RetryReason.OTHER_UPSTREAM
        return retry(reason) ?: ifNothingRuns {
            val availableAfter = decisions.timeUntilAvailable(service, ticker.now())
            evidence.refuse(Outcome.SHED, availableAfter ?: SHED_RETRY_AFTER)
        }
    }

    /** Starts a further attempt if one is allowed and an upstream has a slot. Always returns null. */
    private suspend fun CoroutineScope.retry(reason: RetryReason): RequestResult? {
        if (attempts.running.isNotEmpty() || !mayRetry()) return null
        val now = ticker.now()
        val allowed = if (reason == RetryReason.NOT_SENT) {
            request.hop != null || !handler.reach.othersMayReach(service)
        } else {
            decisions.retryBudget.tryAcquire(service, now)
        }
        if (!allowed) return null
        val decision = withTimeoutOrNull(deadline - now) { awaitSlot() } as? SlotDecision.Granted ?: return null
        if (crashVerdict != CrashVerdict.ADMITTED) {
            attempts.releaseSlot(decision.row)
            return null
        }
        handler.metrics.retryStarted(reason)
        startAttempt(decision.row)
        return null
    }

    private fun mayRetry() = sentCount < maxAttempts && connectFailures < MAX_CONNECT_FAILURES &&
        ticker.now() < deadline && crashVerdict == CrashVerdict.ADMITTED

    private inline fun ifNothingRuns(result: () -> RequestResult): RequestResult? =
        if (attempts.running.isEmpty() && finishedAttempts.isEmpty()) result() else null

    private fun nextSecondAttemptCheck(now: Duration): Duration {
        val firstAttempt = attempts.running.singleOrNull() ?: return Duration.INFINITE
        if (!route.kind.retryable || !mayRetry()) return Duration.INFINITE
        return secondAttempts.nextCheckAt(firstAttempt, job, now)
    }

    /** Sends an idempotent request to a second upstream when the first one is slow or silent. */
    private fun CoroutineScope.considerSecondAttempt() {
        val firstAttempt = attempts.running.singleOrNull() ?: return
        if (!route.kind.retryable || !mayRetry()) return
        if (!handler.attemptFeedback.maySendSecond(request.fingerprint)) return
        val row = secondAttempts.select(firstAttempt, job, triedUpstreams, ticker.now()) ?: return
        handler.metrics.retryStarted(RetryReason.SLOW)
        startAttempt(row)
    }

    private suspend fun awaitSlot(): SlotDecision = suspendCancellableCoroutine { continuation ->
        val slot =
            SlotRequest(
                service,
                route.priority,
                request.arrivedAt,
                job,
                targetAt,
                deadline,
                triedUpstreams,
                relayed = request.hop != null,
            ) {
                continuation.resume(it) { _, value, _ ->
                    if (value is SlotDecision.Granted) attempts.releaseSlot(value.row)
                }
            }
        continuation.invokeOnCancellation { slot.cancelled = true }
        decisions.place(slot, ticker.now())
    }

    private fun CoroutineScope.startAttempt(row: UpstreamRow) {
        triedUpstreams += row.id
        sentCount++
        attempts.start(this, row, job.serviceTime)
    }

    private fun onFinished(attempt: Attempt) {
        finishedAttempts.addLast(attempt)
        wakeUp.trySend(Unit)
    }

    private fun finishUnanswered(): RequestResult {
        for (attempt in attempts.running) {
            if (ticker.now() - attempt.sentAt > MIN_SILENCE) decisions.suspicion.recordLoss(attempt.row, ticker.now())
        }
        return evidence.failure?.let(evidence::forward) ?: evidence.uncertain(Outcome.TIMED_OUT)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Failed connection attempts after which no further upstream is tried. */
        const val MAX_CONNECT_FAILURES = 3

        /** Share of a route's target latency that the entry may use; the rest is for the network to the caller. */
        const val TARGET_SHARE = 0.9

        /** An attempt that got no answer counts against its upstream only if it ran for longer than this. */
        val MIN_SILENCE = 300.milliseconds
        val DEFAULT_RETRY_AFTER = 50.milliseconds
        val SHED_RETRY_AFTER = 30.milliseconds
        val NO_UPSTREAM_RETRY_AFTER = 300.milliseconds
    }
}
