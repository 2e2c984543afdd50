package io.poplarwood.gateway.decision

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Requests that were running when upstreams were lost, by fingerprint.
 *
 * Answers a request that crashes each upstream that runs it and comes again: after [LIMIT] lost upstreams, counted
 * over all entries, it is refused. An answer to a request with the fingerprint clears it.
 */
internal class CrashSuspects {
    private val rows = LinkedHashMap<Long, HashMap<String, Duration>>()

    /** Notes that [upstream] was lost while it ran a request with [fingerprint]; false when that was known. */
    fun lost(fingerprint: Long, upstream: String, now: Duration): Boolean {
        val losses = rows.getOrPut(fingerprint) { HashMap() }
        if (rows.size > MAX_FINGERPRINTS) rows.remove(rows.keys.first())
        val known = losses[upstream]
        if (known != null && now - known < SAME_LOSS) return false
        losses[upstream] = now
        return true
    }

    /** Notes that a request with [fingerprint] was answered; returns the losses that this clears. */
    fun answered(fingerprint: Long): Int = if (rows.isEmpty()) 0 else rows.remove(fingerprint)?.size ?: 0

    /** Upstreams that are known to have been lost under [fingerprint]. */
    fun losses(fingerprint: Long): Int = rows[fingerprint]?.size ?: 0

    /** Whether a request with [fingerprint] must not run. */
    fun refuses(fingerprint: Long, now: Duration): Boolean {
        val losses = rows[fingerprint] ?: return false
        losses.values.removeIf { now - it > EXPIRY }
        if (losses.isEmpty()) rows.remove(fingerprint)
        return losses.size >= LIMIT
    }

    companion object {
        /** Lost upstreams after which a request is refused. */
        const val LIMIT: Int = 3

        /** Time for which a refused request stays refused. */
        val EXPIRY: Duration = 60.seconds

        private val SAME_LOSS = 1.seconds
        private const val MAX_FINGERPRINTS = 10_000
    }
}
