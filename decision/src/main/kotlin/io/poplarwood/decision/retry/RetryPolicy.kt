package io.poplarwood.decision.retry

import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.api.random.RandomSource
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.DispatcherSettings
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/**
 * Decides whether a call gets a further attempt.
 *
 * Attempts that ended with "busy" or "draining" cost an upstream next to nothing, so only the number of attempts limits
 * their retries; all other retries also draw on the class's budget. A server error is the upstream's own response and
 * went to the caller already, so it is never retried.
 */
internal class RetryPolicy(
    private val settings: DispatcherSettings,
    private val shedMonitor: ShedMonitor,
    private val random: RandomSource,
) {
    /** Decides after the end of an attempt, which [history] includes; [budget] is that of the call's class. */
    fun decide(call: Call, history: AttemptHistory, budget: RetryBudget, now: Duration): RetryDecision {
        val result = history.last
        if (result == null || result.answered) return RetryDecision.Done
        val reason = retryReason(result)
        val exhausted = history.attempts >= settings.maxAttempts || now >= call.deadline || shedMonitor.shedding
        if (reason == null || exhausted || !mayRetry(call, result)) return giveUp(call, history)
        val unbudgeted = result == AttemptResult.BUSY || result == AttemptResult.DRAINING
        if (!unbudgeted && !budget.tryTake(now)) return giveUp(call, history, budgetSpent = true)
        return RetryDecision.Retry(reason, delay(history.attempts, unbudgeted))
    }

    /** The final response to a call that gets no further attempt. */
    fun giveUp(call: Call, history: AttemptHistory, budgetSpent: Boolean = false): RetryDecision.GiveUp =
        RetryDecision.GiveUp(finalReason(call, history, budgetSpent))

    private fun mayRetry(call: Call, result: AttemptResult): Boolean = when {
        result == AttemptResult.CONNECT_FAILED -> true
        result.provenNotRun -> call.replayable
        else -> call.idempotent && call.replayable && call.mayRetry
    }

    private fun delay(attempts: Int, unbudgeted: Boolean): Duration {
        if (unbudgeted && attempts == 1) return Duration.ZERO
        val bound = settings.retryDelay * (1 shl (attempts - 1).coerceAtMost(MAX_DOUBLINGS))
        return bound * random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
    }
}

private fun retryReason(result: AttemptResult): RetryReason? = when (result) {
    AttemptResult.BUSY -> RetryReason.UPSTREAM_BUSY
    AttemptResult.DRAINING -> RetryReason.UPSTREAM_DRAINING
    AttemptResult.CONNECT_FAILED -> RetryReason.CONNECT_FAILED
    AttemptResult.CONNECTION_LOST -> RetryReason.CONNECTION_LOST
    AttemptResult.CONNECTION_SILENT -> RetryReason.CONNECTION_SILENT
    else -> null
}

private fun finalReason(call: Call, history: AttemptHistory, budgetSpent: Boolean): RefusalReason = when {
    !history.mayHaveRun -> notRunReason(history.last)
    !call.idempotent -> unknownReason(history.last)
    history.last == AttemptResult.TIMED_OUT -> RefusalReason.DEADLINE_WHILE_RUNNING
    budgetSpent -> RefusalReason.RETRY_BUDGET_SPENT
    else -> RefusalReason.ATTEMPTS_SPENT
}

private fun notRunReason(last: AttemptResult?): RefusalReason = when (last) {
    AttemptResult.BUSY -> RefusalReason.UPSTREAM_BUSY
    AttemptResult.DRAINING -> RefusalReason.UPSTREAM_DRAINING
    AttemptResult.CONNECT_FAILED -> RefusalReason.CONNECT_FAILED
    else -> RefusalReason.WAIT_TOO_LONG
}

private fun unknownReason(last: AttemptResult?): RefusalReason = when (last) {
    AttemptResult.CONNECTION_SILENT -> RefusalReason.CONNECTION_SILENT
    AttemptResult.TIMED_OUT -> RefusalReason.ANSWER_TIMEOUT
    else -> RefusalReason.CONNECTION_LOST
}
