package io.poplarwood.decision.admission

import io.poplarwood.api.work.ClassSpec
import io.poplarwood.decision.retry.RetryBudget
import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/**
 * State of one class: its waiting calls, the slots that it holds and the balance of its guaranteed share.
 *
 * @property inUse slots that its attempts hold now
 * @property smoothedInUse smoothed value of [inUse]
 * @property credit slot time in seconds by which the class is below its guaranteed share; negative when above it
 */
internal class ClassQueue(var spec: ClassSpec, val budget: RetryBudget) {
    val calls = ArrayDeque<PendingCall>()
    val serviceTime = ServiceTime()
    val dispatchRate = DispatchRate()
    var inUse = 0
    var smoothedInUse = 0.0
    var credit = 0.0

    /** Recent refusals because the queue was too long; decays like [smoothedInUse]. */
    var recentRefusals = 0.0

    /** Whether the class's next call takes precedence over calls of every rank. */
    val belowShare: Boolean get() = calls.isNotEmpty() && credit > 0.0 && spec.target.keepShare != null

    /** Removes and returns the waiting calls that match [predicate]. */
    inline fun removeIf(predicate: (PendingCall) -> Boolean): List<PendingCall> {
        val removed = calls.filter { predicate(it) }
        if (removed.isNotEmpty()) calls.removeAll(removed.toSet())
        return removed
    }

    /** Records the end of an attempt of [pending]. */
    fun recordEnd(pending: PendingCall, result: AttemptResult, now: Duration) {
        if (result.answered) serviceTime.record(now - pending.dispatchedAt)
        if (result == AttemptResult.ANSWERED) budget.recordSuccess()
    }

    fun oldestQueuedAt(): Duration? = calls.firstOrNull()?.queuedAt
}
