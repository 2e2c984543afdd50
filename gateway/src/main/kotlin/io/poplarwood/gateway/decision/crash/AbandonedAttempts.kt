package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An attempt that [upstream] was still executing when its request ended.
 *
 * @property sentAt when the request was sent to [upstream]
 * @property abandonedAt when the request ended
 */
internal class AbandonedAttempt(
    val fingerprint: Long,
    val upstream: String,
    val sentAt: Duration,
    val abandonedAt: Duration,
)

/**
 * Recent requests that ended without an answer while an upstream was still executing them. They are retained for a
 * while, because the upstream may turn out to have crashed while it executed them.
 */
internal class AbandonedAttempts {
    private val runs = ArrayDeque<AbandonedAttempt>()

    /**
     * Adds [run]; returns true when another one with the same fingerprint was abandoned recently, so that a check of
     * the upstream is worthwhile.
     */
    fun add(run: AbandonedAttempt): Boolean {
        expire(run.abandonedAt)
        val again = runs.any { it.fingerprint == run.fingerprint && it.abandonedAt < run.abandonedAt }
        runs.addLast(run)
        if (runs.size > MAX_RUNS) runs.removeFirst()
        return again
    }

    /** Removes and returns the attempts that [upstream] may have crashed under: those abandoned at or after [after]. */
    fun removeFor(upstream: String, after: Duration): List<AbandonedAttempt> {
        val found = runs.filter { it.upstream == upstream && it.abandonedAt >= after }
        runs.removeAll(found)
        return found
    }

    /** Removes the attempts with [fingerprint], because such a request was answered. */
    fun removeByFingerprint(fingerprint: Long) {
        runs.removeAll { it.fingerprint == fingerprint }
    }

    /** Whether attempts at [upstream] are still unchecked. */
    fun contains(upstream: String): Boolean = runs.any { it.upstream == upstream }

    /** Whether [run] is still unchecked. */
    fun contains(run: AbandonedAttempt): Boolean = run in runs

    private fun expire(now: Duration) {
        while (runs.firstOrNull()?.let { now - it.abandonedAt > RETENTION } ?: return) runs.removeFirst()
    }

    private companion object {
        val RETENTION = 10.seconds
        const val MAX_RUNS = 256
    }
}
