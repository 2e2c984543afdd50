package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One request that ended while [upstream] still ran it. */
internal class AbandonedRun(val fingerprint: Long, val upstream: String, val since: Duration, val at: Duration)

/**
 * Requests that ended without an answer while an upstream still ran them, kept for a while: the upstream may be found
 * to have ended under them.
 */
internal class AbandonedRuns {
    private val runs = ArrayDeque<AbandonedRun>()

    /** Keeps [run]; true when one with its fingerprint was abandoned shortly before, so that a look is worthwhile. */
    fun add(run: AbandonedRun): Boolean {
        expire(run.at)
        val again = runs.any { it.fingerprint == run.fingerprint && it.at < run.at }
        runs.addLast(run)
        if (runs.size > MAX_RUNS) runs.removeFirst()
        return again
    }

    /** Takes out those that [upstream] may have ended under: they were abandoned after [after]. */
    fun take(upstream: String, after: Duration): List<AbandonedRun> {
        val found = runs.filter { it.upstream == upstream && it.at >= after }
        runs.removeAll(found)
        return found
    }

    /** Drops those with [fingerprint]: such a request was answered. */
    fun drop(fingerprint: Long) {
        runs.removeAll { it.fingerprint == fingerprint }
    }

    /** Whether [upstream] ran some at the end of which it was not looked at. */
    fun has(upstream: String): Boolean = runs.any { it.upstream == upstream }

    private fun expire(now: Duration) {
        while (runs.firstOrNull()?.let { now - it.at > RETENTION } ?: return) runs.removeFirst()
    }

    private companion object {
        val RETENTION = 10.seconds
        const val MAX_RUNS = 256
    }
}
