package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Losses of upstreams by the fingerprint of the request that they were executing.
 *
 * A request that crashes every upstream that executes it, and that callers retry, is refused after [LIMIT] upstreams in
 * a row, counted over all entries. A connection that breaks under a common request says little, so a loss counts
 * permanently only when it is confirmed that the upstream itself has ended, and briefly until then. An answer to a
 * request with the fingerprint clears its losses.
 */
internal class CrashSuspects {
    private val rows = LinkedHashMap<Long, CrashRow>()
    private var nextExpiryAt = -Duration.INFINITE

    /** Called when requests with a fingerprint are no longer refused. */
    var onReadmitted: (fingerprint: Long) -> Unit = {}

    /**
     * Records [loss] of a request with [fingerprint] that last arrived at [seenAt]; returns false when the loss was
     * cleared or adds no information.
     */
    fun recordLoss(fingerprint: Long, loss: CrashLoss, seenAt: Duration): Boolean {
        val row = rows.getOrPut(fingerprint) { CrashRow() }
        row.seenAt = maxOf(row.seenAt, seenAt)
        if (loss.lostAt <= row.clearedAt) return false
        val known = row.losses[loss.id]
        if (known != null && (known.confirmed || !loss.confirmed)) return false
        row.losses[loss.id] = loss
        if (rows.size > MAX_FINGERPRINTS) evict(seenAt)
        return true
    }

    /**
     * Confirms that the upstream of the loss [id] has ended; returns false when an answer has cleared the loss
     * meanwhile.
     */
    fun confirm(fingerprint: Long, id: Long, now: Duration): Boolean {
        val loss = rows[fingerprint]?.losses?.get(id) ?: return false
        return recordLoss(fingerprint, loss.copy(confirmed = true), now)
    }

    /** Removes the loss [id], because the upstream is still running. */
    fun removeLoss(fingerprint: Long, id: Long) {
        rows[fingerprint]?.losses?.remove(id)
    }

    /**
     * Records that a request with [fingerprint] was answered at [at]; returns the number of losses that this clears.
     * The time is retained for a while, since other entries may still report these losses.
     */
    fun recordAnswer(fingerprint: Long, at: Duration): Int {
        val row = (if (rows.isEmpty()) null else rows[fingerprint]) ?: return 0
        val before = row.losses.size
        val refused = row.refused
        if (row.rowsToSync) row.clearedAt = maxOf(row.clearedAt, at)
        row.losses.values.removeIf { it.lostAt <= at }
        if (refused && !row.refused) {
            row.refusalReported = false
            onReadmitted(fingerprint)
        }
        return before - row.losses.size
    }

    /** Number of upstreams that seem to have ended under requests with [fingerprint]. */
    fun lossCount(fingerprint: Long): Int = rows[fingerprint]?.losses?.size ?: 0

    /** Whether a request with [fingerprint] that arrived at [now] may be sent. */
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        expire(now)
        val row = rows[fingerprint] ?: return CrashVerdict.ADMITTED
        val verdict = row.verdict(now)
        if (verdict == CrashVerdict.REFUSED) row.seenAt = maxOf(row.seenAt, now)
        return verdict
    }

    /** Whether requests with [fingerprint] have become refused since the last call. */
    fun becameRefused(fingerprint: Long): Boolean {
        val row = rows[fingerprint] ?: return false
        if (row.refusalReported || !row.refused) return false
        row.refusalReported = true
        return true
    }

    /** Rows to synchronize between entries, by fingerprint. Single losses are announced once and not synchronized. */
    fun rowsToSync(now: Duration): Map<Long, CrashRow> {
        expire(now)
        return rows.filterValues { it.rowsToSync || it.clearedAt > -Duration.INFINITE }
    }

    /** Digest that is equal at entries with the same state; 0 when there are no rows to synchronize. */
    fun digest(now: Duration): Long {
        expire(now)
        var sum = 0L
        for ((fingerprint, row) in rows) if (row.rowsToSync) sum += fingerprint * row.digest()
        return sum
    }

    private fun expire(now: Duration) {
        if (rows.isEmpty() || now < nextExpiryAt) return
        nextExpiryAt = now + EXPIRY_INTERVAL
        val expired = rows.filterValues { it.isExpired(now) }
        for ((fingerprint, row) in expired) {
            rows.remove(fingerprint)
            if (row.refused) onReadmitted(fingerprint)
        }
    }

    /**
     * Removes one row to make room: rows that are not refused first, and among equals the one with the oldest
     * [CrashRow.seenAt].
     */
    private fun evict(now: Duration) {
        val oldest = rows.entries.minWith(
            compareBy({ it.value.verdict(now) == CrashVerdict.REFUSED }, { it.value.seenAt }),
        )
        rows.remove(oldest.key)
    }

    companion object {
        /** Consecutive upstreams that end under a request before it is refused. */
        const val LIMIT: Int = 3

        /** A row without a new loss or refusal for this long is dropped. */
        val EXPIRY: Duration = 10.minutes
        private val EXPIRY_INTERVAL = 1.seconds
        private const val MAX_FINGERPRINTS = 1_000
    }
}
