package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.PendingCall
import io.poplarwood.decision.explain.AttemptRecord
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Writes the decisions about calls to the [log]. */
internal class ExplainRecorder(private val log: ExplainLog) {
    /** The record of a call that has just arrived. */
    fun newRecord(service: ServiceName, call: Call, queue: ClassQueue, wait: Duration) = ExplainRecord(
        request = call.request,
        service = service,
        workClass = call.workClass,
        rank = queue.spec.rank,
        estimatedWaitMs = wait.toDouble(DurationUnit.MILLISECONDS),
        queuedAhead = queue.calls.size,
    )

    fun recordRefusal(pending: PendingCall, refusal: Refusal) {
        pending.record = pending.record.copy(retryAfterMs = refusal.retryAfter?.toDouble(DurationUnit.MILLISECONDS))
    }

    /** Records an attempt that starts and adds its upstream to the tried ones. */
    fun recordDispatch(grant: SlotGrant) {
        val pending = grant.pending
        val attempt = AttemptRecord(
            upstream = grant.upstream,
            considered = grant.considered,
            excluded = pending.tried.toList(),
            alone = pending.alone,
            waitedMs = (pending.dispatchedAt - pending.queuedAt).toDouble(DurationUnit.MILLISECONDS),
            retry = pending.retry?.wire,
        )
        pending.tried += grant.upstream
        pending.record = pending.record.copy(attempts = pending.record.attempts + attempt, admittedBy = grant.by)
        log.put(pending.record)
    }

    fun recordEnd(pending: PendingCall, result: AttemptResult, now: Duration) {
        val attempts = pending.record.attempts.toMutableList()
        val ranMs = (now - pending.dispatchedAt).toDouble(DurationUnit.MILLISECONDS)
        attempts[attempts.lastIndex] = attempts.last().copy(ranMs = ranMs, result = result.name.lowercase())
        pending.record = pending.record.copy(attempts = attempts)
    }

    fun recordOutcome(pending: PendingCall, outcome: String) {
        pending.record = pending.record.copy(outcome = outcome)
        log.put(pending.record)
    }
}
