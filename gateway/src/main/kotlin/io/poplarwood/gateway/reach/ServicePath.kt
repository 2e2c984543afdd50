package io.poplarwood.gateway.reach

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the attempts of this entry show about its path to the upstreams of one service. */
internal class ServicePath {
    private class Pending(val upstream: String, val sentAt: Duration, val dueAt: Duration)

    private val pending = HashMap<Any, Pending>()
    private val failed = LinkedHashMap<String, Duration>()

    /** When an upstream of the service last answered this entry. */
    var answeredAt: Duration = -Duration.INFINITE
        private set

    /** When the path was last checked. */
    var checkedAt: Duration = -Duration.INFINITE

    /** Whether a check is running. */
    var checking: Boolean = false

    /** Until when the path counts as sound, because a check did not show that it is cut. */
    var soundUntil: Duration = -Duration.INFINITE

    /** Since when this entry is cut off from the service; null while it is not. */
    var cutSince: Duration? = null

    /** Checks in a row that found the path whole, while it is cut. */
    var passedChecks: Int = 0

    /** The upstreams that failed this entry since the last answer. */
    val failedUpstreams: Set<String> get() = failed.keys

    /** Records that [attempt] at [upstream] was sent, to which an answer is due by [dueAt]. */
    fun started(attempt: Any, upstream: String, sentAt: Duration, dueAt: Duration) {
        pending[attempt] = Pending(upstream, sentAt, dueAt)
    }

    /** Records that [attempt] ended without telling anything about the path. */
    fun ended(attempt: Any) {
        pending.remove(attempt)
    }

    /** Records that the upstream of [attempt] answered. */
    fun answered(attempt: Any, now: Duration) {
        pending.remove(attempt)
        answeredAt = now
        failed.clear()
    }

    /** Records that [attempt] at [upstream] found no connection, or lost it. */
    fun failed(attempt: Any, upstream: String, now: Duration) {
        pending.remove(attempt)
        failed[upstream] = now
    }

    /** Records that [attempt] was given up; it counts as failed if its answer was due. */
    fun abandoned(attempt: Any, now: Duration) {
        val given = pending.remove(attempt)?.takeIf { it.dueAt < now && it.sentAt > answeredAt } ?: return
        failed[given.upstream] = now
    }

    /** Whether several upstreams failed this entry, or are overdue, and none has answered since. */
    fun isSuspect(now: Duration): Boolean {
        failed.values.removeIf { now - it > MEMORY }
        if (failed.size >= MIN_UPSTREAMS) return true
        val overdue = pending.values.filter {
            it.dueAt < now && it.sentAt > answeredAt
        }.mapTo(HashSet()) { it.upstream }
        return (overdue + failed.keys).size >= MIN_UPSTREAMS
    }

    private companion object {
        /** A single upstream may have crashed or been cut off itself. */
        const val MIN_UPSTREAMS = 2

        /** Failures of longer ago say nothing about the path now. */
        val MEMORY = 3.seconds
    }
}
