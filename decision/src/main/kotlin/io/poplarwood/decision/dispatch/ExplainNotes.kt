package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.decision.admission.ClassQueue
import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.explain.AttemptRecord
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Writes the decisions about calls to the [log]. */
internal class ExplainNotes(private val log: ExplainLog) {
    /** The record of a call that arrives. */
    fun opened(service: ServiceName, call: Call, queue: ClassQueue, wait: Duration) = ExplainRecord(
        request = call.request,
        service = service,
        workClass = call.workClass,
        rank = queue.spec.rank,
        estimatedWaitMs = wait.toDouble(DurationUnit.MILLISECONDS),
        queuedAhead = queue.calls.size,
    )

    fun refused(row: WaitingCall, refusal: Refusal) {
        row.record = row.record.copy(retryAfterMs = refusal.retryAfter?.toDouble(DurationUnit.MILLISECONDS))
    }

    /** Notes an attempt that begins; the upstream then counts as tried. */
    fun dispatched(granted: SlotGrant) {
        val row = granted.row
        val attempt = AttemptRecord(
            upstream = granted.upstream,
            considered = granted.considered,
            excluded = row.tried.toList(),
            alone = row.alone,
            waitedMs = (row.dispatchedAt - row.queuedAt).toDouble(DurationUnit.MILLISECONDS),
            retry = row.retry?.wire,
        )
        row.tried += granted.upstream
        row.record = row.record.copy(attempts = row.record.attempts + attempt, admittedBy = granted.by)
        log.put(row.record)
    }

    fun ended(row: WaitingCall, result: AttemptResult, now: Duration) {
        val attempts = row.record.attempts.toMutableList()
        val ran = (now - row.dispatchedAt).toDouble(DurationUnit.MILLISECONDS)
        attempts[attempts.lastIndex] = attempts.last().copy(ranMs = ran, result = result.name.lowercase())
        row.record = row.record.copy(attempts = attempts)
    }

    fun closed(row: WaitingCall, outcome: String) {
        row.record = row.record.copy(outcome = outcome)
        log.put(row.record)
    }
}
