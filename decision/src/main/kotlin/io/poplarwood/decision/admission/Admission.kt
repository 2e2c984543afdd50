package io.poplarwood.decision.admission

import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.api.random.Randomness
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.dispatch.DispatcherSettings
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Decides on arrival whether a call can be served in time. */
internal class Admission(
    private val settings: DispatcherSettings,
    private val account: SlotAccount,
    private val random: Randomness,
) {
    /** Expected wait of a call that joins [queue] now; zero when nothing waits or nothing was measured yet. */
    fun estimatedWait(queue: ClassQueue, all: Collection<ClassQueue>): Duration {
        if (queue.calls.isEmpty() || queue.serviceTime.mean == 0.0) return Duration.ZERO
        val byShare = slotsFor(queue, all) / queue.serviceTime.mean
        val rate = max(byShare, queue.drain.rate)
        return if (rate <= 0.0) Duration.ZERO else ((queue.calls.size + 1) / rate).seconds
    }

    /** The refusal of [call], or null when it may wait; [wait] is what [estimatedWait] gave for it. */
    fun refusal(call: Call, queue: ClassQueue, wait: Duration, now: Duration): Refusal? {
        val left = call.deadline - now
        return when {
            left <= Duration.ZERO -> Refusal(RefusalReason.DEADLINE_PASSED)
            left < queue.serviceTime.fast -> Refusal(RefusalReason.WAIT_TOO_LONG)
            queue.calls.size >= settings.queueBound -> Refusal(RefusalReason.QUEUE_FULL, retryAfter(wait))
            wait == Duration.ZERO -> null
            else -> refusalForWait(queue, wait, left)
        }
    }

    private fun refusalForWait(queue: ClassQueue, wait: Duration, left: Duration): Refusal? {
        val service = queue.serviceTime.mean.seconds
        if (wait + service > left) return Refusal(RefusalReason.WAIT_TOO_LONG, retryAfter(wait))
        val target = queue.spec.target.servedWithin ?: return null
        val patience = target * settings.patience
        return if (wait > patience) Refusal(RefusalReason.OVERLOADED, retryAfter(wait - patience)) else null
    }

    /** [expected] with jitter, so that refused callers do not return together. */
    fun retryAfter(expected: Duration): Duration = maxOf(expected, settings.minRetryAfter) * (1 + random.nextDouble())

    /** Slots that serve [queue] in the long run: what more urgent work leaves, at least its kept share. */
    private fun slotsFor(queue: ClassQueue, all: Collection<ClassQueue>): Double {
        val slots = account.slots.toDouble()
        var left = slots
        for (other in all) {
            if (other === queue) continue
            val kept = (other.spec.target.keepShare ?: 0.0) * slots
            left -= when {
                other.spec.rank <= queue.spec.rank -> other.load
                else -> minOf(other.load, kept)
            }
        }
        val bounded = minOf(left, queue.spec.maxSlotShare * slots)
        return max(bounded, (queue.spec.target.keepShare ?: 0.0) * slots)
    }
}
