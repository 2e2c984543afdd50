package io.poplarwood.decision.admission

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.random.RandomSource
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.DispatcherSettings
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides on arrival whether a call can be served in time. */
internal class Admission(
    private val settings: DispatcherSettings,
    private val account: SlotAccount,
    private val random: RandomSource,
) {
    /** Expected wait of a call that joins [queue] now; zero when no call waits or there are no samples yet. */
    fun estimatedWait(queue: ClassQueue, queues: Collection<ClassQueue>): Duration {
        if (queue.calls.isEmpty() || queue.serviceTime.mean == 0.0) return Duration.ZERO
        val shareRate = expectedSlots(queue, queues) / queue.serviceTime.mean
        val rate = max(shareRate, queue.dispatchRate.rate)
        return if (rate <= 0.0) Duration.ZERO else ((queue.calls.size + 1) / rate).seconds
    }

    /** The refusal of [call], or null when the call may wait; [wait] is the result of [estimatedWait] for it. */
    fun refusal(call: Call, queue: ClassQueue, wait: Duration, now: Duration): Refusal? {
        val remaining = call.deadline - now
        return when {
            remaining <= Duration.ZERO -> Refusal(RefusalReason.DEADLINE_PASSED)
            remaining < queue.serviceTime.shortest -> Refusal(RefusalReason.WAIT_TOO_LONG)
            queue.calls.size >= settings.maxQueueLength -> Refusal(RefusalReason.QUEUE_FULL, retryAfter(wait))
            wait == Duration.ZERO -> null
            else -> refusalForWait(queue, wait, remaining)
        }
    }

    private fun refusalForWait(queue: ClassQueue, wait: Duration, remaining: Duration): Refusal? {
        val serviceTime = queue.serviceTime.mean.seconds
        if (wait + serviceTime > remaining) return Refusal(RefusalReason.WAIT_TOO_LONG, retryAfter(wait))
        val target = queue.spec.target.servedWithin ?: return null
        val maxWait = target * settings.maxWaitShare
        return if (wait > maxWait) Refusal(RefusalReason.OVERLOADED, retryAfter(wait - maxWait)) else null
    }

    /** [expected] with jitter, so that refused callers do not return at the same time. */
    fun retryAfter(expected: Duration): Duration = maxOf(expected, settings.minRetryAfter) * (1 + random.nextDouble())

    /**
     * Slots that serve [queue] in the long run: those that more urgent work leaves, and at least its guaranteed share.
     */
    private fun expectedSlots(queue: ClassQueue, queues: Collection<ClassQueue>): Double {
        val slots = account.slots.toDouble()
        var remaining = slots
        for (other in queues) {
            if (other === queue) continue
            val guaranteed = (other.spec.target.keepShare ?: 0.0) * slots
            remaining -= when {
                other.spec.rank <= queue.spec.rank -> other.smoothedInUse
                else -> minOf(other.smoothedInUse, guaranteed)
            }
        }
        val bounded = minOf(remaining, queue.spec.maxSlotShare * slots)
        return max(bounded, (queue.spec.target.keepShare ?: 0.0) * slots)
    }
}
