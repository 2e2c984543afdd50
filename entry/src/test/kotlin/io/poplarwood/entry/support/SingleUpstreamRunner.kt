package io.poplarwood.entry.support

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.Command
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.AttemptResult
import io.poplarwood.entry.runtime.CallRunner
import java.util.concurrent.CopyOnWriteArrayList

/** Sends every call to one upstream and retries calls that may be retried, with at most [attempts] attempts each. */
internal class SingleUpstreamRunner(private val address: String, private val attempts: Int = 1) : CallRunner {
    val evidence = CopyOnWriteArrayList<AttemptObservation>()
    val calls = CopyOnWriteArrayList<Call>()

    override suspend fun run(call: Call, attempt: suspend (Command.Dispatch) -> AttemptObservation): Refusal? {
        calls += call
        var lastReason: RetryReason? = null
        for (n in 1..attempts) {
            val observed = attempt(Command.Dispatch(call.id, n, UpstreamId(address, "a"), lastReason))
            evidence += observed
            lastReason = retryReasonFor(observed.result) ?: return final(observed.result, call)
            val retryable = call.replayable && (lastReason.provenNotRun || call.idempotent)
            if (n == attempts || !retryable) return final(observed.result, call)
        }
        return null
    }

    private fun retryReasonFor(result: AttemptResult): RetryReason? =
        when (result) {
            AttemptResult.CONNECT_FAILED -> RetryReason.CONNECT_FAILED
            AttemptResult.BUSY -> RetryReason.UPSTREAM_BUSY
            AttemptResult.DRAINING -> RetryReason.UPSTREAM_DRAINING
            AttemptResult.CONNECTION_LOST -> RetryReason.CONNECTION_LOST
            AttemptResult.CONNECTION_SILENT -> RetryReason.CONNECTION_SILENT
            else -> null
        }

    private fun final(result: AttemptResult, call: Call): Refusal? =
        when (result) {
            AttemptResult.ANSWERED, AttemptResult.SERVER_ERROR, AttemptResult.CANCELLED -> null
            AttemptResult.CONNECT_FAILED -> Refusal(RefusalReason.CONNECT_FAILED)
            AttemptResult.BUSY -> Refusal(RefusalReason.UPSTREAM_BUSY)
            AttemptResult.DRAINING -> Refusal(RefusalReason.UPSTREAM_DRAINING)
            AttemptResult.TIMED_OUT -> Refusal(RefusalReason.ANSWER_TIMEOUT)
            AttemptResult.CONNECTION_SILENT -> Refusal(RefusalReason.CONNECTION_SILENT)
            AttemptResult.CONNECTION_LOST ->
                Refusal(if (call.idempotent) RefusalReason.ATTEMPTS_SPENT else RefusalReason.CONNECTION_LOST)
        }
}
