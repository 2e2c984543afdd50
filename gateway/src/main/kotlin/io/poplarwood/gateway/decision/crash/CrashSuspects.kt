package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Requests under which upstreams ended, by fingerprint.
 *
 * Answers a request that ends each upstream that runs it and comes again: after [LIMIT] upstreams in a row, counted
 * over all entries, it is refused. A connection that breaks under a common request says little, so a loss counts for
 * good once it is confirmed that the upstream itself has ended; until then it counts for a moment. An answer to a
 * request with the fingerprint clears it.
 */
internal class CrashSuspects {
    private val rows = LinkedHashMap<Long, CrashRow>()
    private var nextExpiryAt = -Duration.INFINITE

    /** Called when requests with a fingerprint are no longer refused. */
    var onReadmitted: (fingerprint: Long) -> Unit = {}

    /**
     * Takes in [loss] of a request with [fingerprint] that came last at [seenAt]; false when that says nothing new.
     */
    fun lost(fingerprint: Long, loss: CrashLoss, seenAt: Duration): Boolean {
        val row = rows.getOrPut(fingerprint) { CrashRow() }
        row.seenAt = maxOf(row.seenAt, seenAt)
        if (loss.at <= row.clearedAt) return false
        val known = row.losses[loss.id]
        if (known != null && (known.confirmed || !loss.confirmed)) return false
        row.losses[loss.id] = loss
        if (rows.size > MAX_FINGERPRINTS) evict(seenAt)
        return true
    }

    /** Notes that the upstream of the loss [id] has ended; false when an answer has cleared the loss meanwhile. */
    fun confirm(fingerprint: Long, id: Long, now: Duration): Boolean {
        val loss = rows[fingerprint]?.losses?.get(id) ?: return false
        return lost(fingerprint, loss.copy(confirmed = true), now)
    }

    /** Drops the loss [id]: the upstream lives. */
    fun withdraw(fingerprint: Long, id: Long) {
        rows[fingerprint]?.losses?.remove(id)
    }

    /**
     * Notes that a request with [fingerprint] was answered at [at]; returns the losses that this clears. It is kept in
     * mind for a while, since other entries may still tell of them.
     */
    fun answered(fingerprint: Long, at: Duration): Int {
        val row = (if (rows.isEmpty()) null else rows[fingerprint]) ?: return 0
        val before = row.losses.size
        val refused = row.refused
        if (row.shared) row.clearedAt = maxOf(row.clearedAt, at)
        row.losses.values.removeIf { it.at <= at }
        if (refused && !row.refused) onReadmitted(fingerprint)
        return before - row.losses.size
    }

    /** Upstreams that seem to have ended under [fingerprint]. */
    fun losses(fingerprint: Long): Int = rows[fingerprint]?.losses?.size ?: 0

    /** Whether a request with [fingerprint], which has come at [now], may be sent. */
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        expire(now)
        val row = rows[fingerprint] ?: return CrashVerdict.ADMITTED
        val verdict = row.verdict(now)
        if (verdict == CrashVerdict.REFUSED) row.seenAt = maxOf(row.seenAt, now)
        return verdict
    }

    /** Whether requests with [fingerprint] have come to be refused since this was last asked. */
    fun becameRefused(fingerprint: Long): Boolean {
        val row = rows[fingerprint] ?: return false
        if (row.refusalReported || !row.refused) return false
        row.refusalReported = true
        return true
    }

    /** What every entry should know, by fingerprint; a single loss is told once and not kept in step. */
    fun shared(now: Duration): Map<Long, CrashRow> {
        expire(now)
        return rows.filterValues { it.shared || it.clearedAt > -Duration.INFINITE }
    }

    /** A number that is the same at entries that know the same; 0 when there is nothing to know. */
    fun digest(now: Duration): Long {
        expire(now)
        var sum = 0L
        for ((fingerprint, row) in rows) if (row.shared) sum += fingerprint * row.digest()
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

    /** Makes room: requests that are not refused go first, and of each sort the one that came last the longest ago. */
    private fun evict(now: Duration) {
        val oldest = rows.entries.minWith(
            compareBy({ it.value.verdict(now) == CrashVerdict.REFUSED }, { it.value.seenAt }),
        )
        rows.remove(oldest.key)
    }

    companion object {
        /** Upstreams that end in a row before a request is refused. */
        const val LIMIT: Int = 3

        /** A request that has not come for this long is forgotten. */
        val EXPIRY: Duration = 10.minutes
        private val EXPIRY_INTERVAL = 1.seconds
        private const val MAX_FINGERPRINTS = 1_000
    }
}
