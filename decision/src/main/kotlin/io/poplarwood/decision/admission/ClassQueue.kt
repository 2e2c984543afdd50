package io.poplarwood.decision.admission

import io.poplarwood.api.work.ClassSpec
import io.poplarwood.decision.retry.RetryBudget
import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/**
 * Row of one class: its waiting calls, the slots it holds and what it is owed.
 *
 * @property inUse slots that its attempts hold now
 * @property smoothedInUse smoothed [inUse]
 * @property credit slot time in seconds that the class is below its kept share; negative when above
 */
internal class ClassQueue(var spec: ClassSpec, val budget: RetryBudget) {
    val calls = ArrayDeque<PendingCall>()
    val serviceTime = ServiceTime()
    val dispatchRate = DispatchRate()
    var inUse = 0
    var smoothedInUse = 0.0
    var credit = 0.0

    /** Calls refused lately because the queue was too long; fades like [smoothedInUse]. */
    var recentRefusals = 0.0

    /** True when its next call goes before every rank. */
    val belowShare: Boolean get() = calls.isNotEmpty() && credit > 0.0 && spec.target.keepShare != null

    /** Removes and returns the waiting calls for which [predicate] holds. */
    inline fun removeIf(predicate: (PendingCall) -> Boolean): List<PendingCall> {
        val removed = calls.filter { predicate(it) }
        if (removed.isNotEmpty()) calls.removeAll(removed.toSet())
        return removed
    }

    /** Takes in how an attempt of [pending] ended. */
    fun recordEnd(pending: PendingCall, result: AttemptResult, now: Duration) {
        if (result.answered) serviceTime.record(now - pending.dispatchedAt)
        if (result == AttemptResult.ANSWERED) budget.recordSuccess()
    }

    fun oldestQueuedAt(): Duration? = calls.firstOrNull()?.queuedAt
}
