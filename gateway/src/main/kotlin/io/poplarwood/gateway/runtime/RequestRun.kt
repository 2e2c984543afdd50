package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.Job
import io.poplarwood.gateway.decision.SlotDecision
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.http.AttemptResult
import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.NotExecutedCause
import io.poplarwood.gateway.http.Outbound
import io.poplarwood.gateway.metrics.RetryReason
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The attempts of one request.
 *
 * A request that may have run is sent again only if its route allows it. Every attempt beyond the first is taken out
 * of the budget that all entries share.
 */
internal class RequestRun(
    private val flow: RequestHandler,
    private val request: CallerRequest,
    private val route: Route,
    private val service: ServiceName,
    private val report: RequestReport,
) {
    private val ticker = flow.ticker
    private val decisions = flow.decisions
    private val deadline = request.arrived + minOf(request.patience ?: route.timeout, route.timeout)
    private val aim = request.arrived + route.target * AIM_SHARE
    private val job: Job get() = Job(decisions.work.usual(route), request.body.size)
    private val tried = HashSet<String>()
    private val running = ArrayList<Attempt>(2)
    private val finished = ArrayDeque<Attempt>()
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private var sent = 0
    private var unsent = 0
    private var ending = false
    private var answered = false

    /** When an attempt was lost last. */
    private var lostAt = -Duration.INFINITE
    private val known = ExecutionEvidence()

    /** Ends the request now with what is known of it. */
    fun end() {
        ending = true
        signal.trySend(Unit)
    }

    /** Runs the request to its end. */
    suspend fun run(): RequestResult = coroutineScope {
        try {
            (firstAttempt() ?: attempts()).also { answered = it.outcome == Outcome.ANSWERED }
        } finally {
            coroutineContext.cancelChildren()
        }
    }

    private fun abandon(attempt: Attempt) {
        val now = ticker.now()
        noteLost(attempt, now)
        flow.lessons.abandoned(attempt, request.fingerprint, now)
    }

    private fun noteLost(attempt: Attempt, now: Duration) {
        attempt.since = maxOf(attempt.sentAt, lostAt)
        lostAt = now
    }

    /** Starts the first attempt; the end of the request when there is none to make. */
    private suspend fun CoroutineScope.firstAttempt(): RequestResult? {
        val decision = withTimeoutOrNull(deadline - ticker.now()) { place() }
        report.waited = ticker.now() - request.arrived
        return when (decision) {
            null -> known.refuse(Outcome.EXPIRED, RETRY_SOON)
            is SlotDecision.Full -> known.refuse(Outcome.FULL, decision.retryAfter)
            is SlotDecision.NoUpstream -> known.refuse(Outcome.NO_UPSTREAM, decision.retryAfter ?: RETRY_NO_UPSTREAM)
            is SlotDecision.Granted -> startOrRefuse(decision.row)
        }
    }

    /** Upstreams may have ended under equal requests while this one waited. */
    private fun CoroutineScope.startOrRefuse(row: UpstreamRow): RequestResult? {
        val verdict = crashVerdict()
        if (verdict != CrashVerdict.ADMITTED) {
            release(row)
            return known.refuse(Outcome.CRASHES, RequestHandler.pauseAfter(verdict))
        }
        start(row)
        return null
    }

    private fun crashVerdict() = decisions.crashes.verdict(request.fingerprint, ticker.now())

    private suspend fun CoroutineScope.attempts(): RequestResult {
        while (true) {
            val attempt = finished.removeFirstOrNull()
            if (attempt != null) {
                after(attempt)?.let { return it }
                continue
            }
            val now = ticker.now()
            if (now >= deadline || ending) return timedOut()
            val wake = minOf(deadline, secondAttemptAt(now))
            withTimeoutOrNull(wake - now) { signal.receive() }
            if (finished.isEmpty()) considerSecond()
        }
    }

    /** Decides what follows an attempt that ended; null while the request goes on. */
    private suspend fun CoroutineScope.after(attempt: Attempt): RequestResult? =
        when (val result = checkNotNull(attempt.result)) {
            is AttemptResult.Answered -> answered(result)
            is AttemptResult.NotExecuted -> notExecuted(result)
            AttemptResult.NotSent -> {
                sent--
                unsent++
                again(RetryReason.NOT_SENT) ?: ifNothingRuns { known.refuse(Outcome.NOT_SENT, RETRY_SOON) }
            }
            is AttemptResult.Lost -> {
                known.mayHaveRun = true
                val end = if (route.kind.repeatable) again(RetryReason.LOST) else null
                end ?: ifNothingRuns { known.unknown(Outcome.LOST) }
            }
        }

    private suspend fun CoroutineScope.answered(result: AttemptResult.Answered): RequestResult? {
        known.mayHaveRun = true
        if (result.status < FIRST_SERVER_ERROR || !route.kind.repeatable) return known.pass(result)
        known.failure = result
        return again(RetryReason.FAILED) ?: ifNothingRuns { known.pass(result) }
    }

    private suspend fun CoroutineScope.notExecuted(result: AttemptResult.NotExecuted): RequestResult? {
        val reason = if (result.cause == NotExecutedCause.SHED) RetryReason.SHED else RetryReason.OTHER_UPSTREAM
        return again(reason) ?: ifNothingRuns { known.refuse(Outcome.SHED, availableIn() ?: RETRY_SHED) }
    }

    /** Starts a further attempt when one is allowed and an upstream is there; null always, once it runs or not. */
    private suspend fun CoroutineScope.again(reason: RetryReason): RequestResult? {
        if (running.isNotEmpty() || !mayAttempt()) return null
        val free = reason == RetryReason.NOT_SENT
        val now = ticker.now()
        if (!free && !decisions.budget.take(service, now)) return null
        val decision = withTimeoutOrNull(deadline - now) { place() } as? SlotDecision.Granted ?: return null
        if (crashVerdict() != CrashVerdict.ADMITTED) {
            release(decision.row)
            return null
        }
        flow.metrics.repeated(reason)
        start(decision.row)
        return null
    }

    /** Time until an upstream of the service may get work; null when one may now, or none is known to. */
    private fun availableIn(): Duration? {
        val now = ticker.now()
        val from = decisions.placement.usableFrom(decisions.upstreams.of(service), emptySet(), now)
        return from?.takeIf { it > now }?.let { it - now }
    }

    private fun mayAttempt() = sent < route.maxAttempts && unsent < MAX_UNSENT && ticker.now() < deadline &&
        crashVerdict() == CrashVerdict.ADMITTED

    private inline fun ifNothingRuns(end: () -> RequestResult): RequestResult? =
        if (running.isEmpty() && finished.isEmpty()) end() else null

    private fun secondAttemptAt(now: Duration): Duration {
        val first = running.singleOrNull() ?: return Duration.INFINITE
        if (!route.kind.repeatable || !mayAttempt()) return Duration.INFINITE
        return maxOf(first.sentAt + decisions.second.firstLook(job), now + CHECK_SECOND)
    }

    /** Sends an idempotent request to a second upstream when its first one is slow or silent. */
    private fun CoroutineScope.considerSecond() {
        val first = running.singleOrNull() ?: return
        if (!route.kind.repeatable || !mayAttempt()) return
        val now = ticker.now()
        val row = decisions.placement.free(decisions.upstreams.of(service), job, tried, now) ?: return
        val long = decisions.work.long(route)
        val waited = now - first.sentAt
        val worthwhile = decisions.second.worthwhile(first.row, waited, job, long, aim - now, row, now) &&
            decisions.budget.used(service, now) <= SECOND_BUDGET &&
            decisions.budget.take(service, now)
        if (!worthwhile) return
        flow.metrics.repeated(RetryReason.SLOW)
        row.ownInFlight++
        start(row)
    }

    private suspend fun place(): SlotDecision = suspendCancellableCoroutine { continuation ->
        val slot =
            SlotRequest(service, route.priority, request.arrived, job, aim, deadline, tried) {
                continuation.resume(it) { _, value, _ -> if (value is SlotDecision.Granted) release(value.row) }
            }
        continuation.invokeOnCancellation { slot.cancelled = true }
        decisions.place(slot, ticker.now())
    }

    private fun CoroutineScope.start(row: UpstreamRow) {
        val now = ticker.now()
        val attempt = Attempt(row, now, Attempt.basisOf(row, now, decisions.crashes.losses(request.fingerprint)))
        report.attempts += attempt
        running += attempt
        tried += row.id
        sent++
        flow.loads.changed(row)
        launch {
            try {
                val outbound = Outbound(request, deadline - now, row.id)
                val maxIdle = if (route.kind.repeatable) MAX_IDLE else MAX_IDLE_ONCE
                attempt.result = flow.links.exchange(row.record.address, outbound, maxIdle)
            } finally {
                running -= attempt
                release(row)
                if (attempt.result == null && !answered) abandon(attempt)
            }
            attempt.endedAt = ticker.now()
            if (attempt.result is AttemptResult.Lost) noteLost(attempt, ticker.now())
            flow.lessons.learn(attempt, route, request.fingerprint)
            finished.addLast(attempt)
            signal.trySend(Unit)
        }
    }

    private fun release(row: UpstreamRow) {
        row.ownInFlight--
        flow.loads.changed(row)
        decisions.queue(service).pump(ticker.now())
    }

    private fun timedOut(): RequestResult {
        for (attempt in running) {
            if (ticker.now() - attempt.sentAt > SILENT) decisions.suspicion.lost(attempt.row, ticker.now())
        }
        return known.failure?.let(known::pass) ?: known.unknown(Outcome.TIMED_OUT)
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Upstreams that may refuse a connection before the request is given up. */
        const val MAX_UNSENT = 3

        /** A kept connection that was idle for longer may have been forgotten on the path. */
        val MAX_IDLE = 9.seconds
        val MAX_IDLE_ONCE = 4.seconds

        /** Share of a route's target that is left to the entry; the rest is the way from and to the caller. */
        const val AIM_SHARE = 0.9

        /** Share of the budget that slowness may use; the rest is for requests that were shed or lost. */
        const val SECOND_BUDGET = 0.7
        val CHECK_SECOND = 10.milliseconds

        /** An upstream that was given less time than this and did not answer is not blamed. */
        val SILENT = 300.milliseconds
        val RETRY_SOON = 50.milliseconds
        val RETRY_SHED = 30.milliseconds
        val RETRY_NO_UPSTREAM = 300.milliseconds
    }
}
