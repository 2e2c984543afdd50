package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Losses of upstreams by the fingerprint of the request that they were executing.
 *
 * A request that crashes every upstream that executes it, and that callers retry, is refused after [LIMIT] upstreams,
 * counted over all entries. Whether an upstream has ended may be known late or never, so an attempt without an answer
 * counts until its upstream is shown to be running since before the attempt. An answer to a request with the
 * fingerprint clears its losses.
 */
internal class CrashSuspects {
    private val rows = LinkedHashMap<Long, CrashRow>()
    private val ended = EndedIncarnations()
    private var nextExpiryAt = -Duration.INFINITE

    /** Called when requests with a fingerprint no longer have to be known to entries that start. */
    var onCleared: (fingerprint: Long) -> Unit = {}

    /** Called with each loss whose upstream was shown to be running, and with what showed it. */
    var onDismissed: (fingerprint: Long, loss: CrashLoss, reason: String) -> Unit = { _, _, _ -> }

    /**
     * Records [loss] of a request with [fingerprint] that last arrived at [seenAt]; returns false when the loss was
     * cleared or adds no information.
     */
    fun recordLoss(fingerprint: Long, loss: CrashLoss, seenAt: Duration): Boolean {
        val row = rows.getOrPut(fingerprint) { CrashRow() }
        row.seenAt = maxOf(row.seenAt, seenAt)
        if (loss.lostAt <= row.clearedAt) return false
        val known = row.losses[loss.id]
        if (known != null && !loss.ended) {
            row.losses[loss.id] = known.copy(provenAt = maxOf(known.provenAt, loss.provenAt))
            return false
        }
        if (known != null && known.ended) return false
        row.losses[loss.id] = if (ended.contains(loss)) loss.copy(fate = UpstreamFate.ENDED) else loss
        if (rows.size > MAX_FINGERPRINTS) evict()
        return true
    }

    /** The loss [id] under requests with [fingerprint]; null when it was cleared or dismissed. */
    fun loss(fingerprint: Long, id: Long): CrashLoss? = rows[fingerprint]?.losses?.get(id)

    /** Records that the upstream of the loss [id] accepts connections, so that the loss does not count for now. */
    fun presumeRunning(fingerprint: Long, id: Long) {
        val row = rows[fingerprint] ?: return
        val loss = row.losses[id]?.takeIf { it.fate == UpstreamFate.UNKNOWN } ?: return
        row.losses[id] = loss.copy(fate = UpstreamFate.PRESUMED_RUNNING)
        onDismissed(fingerprint, loss, "accepts connections")
    }

    /**
     * Records that the upstream of the loss [id] survived the request. The loss is kept for a while, since other
     * entries may still report it.
     */
    fun survived(fingerprint: Long, id: Long) {
        rows[fingerprint]?.losses?.computeIfPresent(id) { _, loss ->
            if (loss.ended) loss else loss.copy(fate = UpstreamFate.SURVIVED)
        }
    }

    /**
     * Records at [now] that the incarnation [upstream] has ended; returns the losses for which this is new.
     */
    fun upstreamEnded(upstream: IncarnationId, now: Duration): List<RequestLoss> {
        ended.add(upstream, now)
        val changed = ArrayList<RequestLoss>()
        for ((fingerprint, row) in rows) {
            for (loss in row.losses.values.filter { it.upstream == upstream && it.open && it.sentAt <= now }) {
                val endedLoss = loss.copy(fate = UpstreamFate.ENDED)
                row.losses[loss.id] = endedLoss
                changed += RequestLoss(fingerprint, endedLoss)
            }
        }
        return changed
    }

    /**
     * Records that the incarnation [upstream] sent at [now], or later, an answer on a connection opened at [openedAt]:
     * it ran from then until [now]. It has survived the requests that it can no longer be executing.
     */
    fun upstreamAnswered(upstream: IncarnationId, openedAt: Duration, now: Duration) {
        for ((fingerprint, row) in rows) {
            val proven = row.losses.values.filter { it.upstream == upstream && it.open && openedAt <= it.sentAt }
            for (loss in proven) {
                val survived = loss.runsUntil <= now
                val fate = if (survived) UpstreamFate.SURVIVED else loss.fate
                row.losses[loss.id] = loss.provenRunning(now).copy(fate = fate)
                if (survived) onDismissed(fingerprint, loss, "answered on an older connection")
            }
        }
    }

    /** Records that the upstream of the loss [id] may run its request until [runsUntil]. */
    fun extendRun(fingerprint: Long, id: Long, runsUntil: Duration) {
        rows[fingerprint]?.losses?.computeIfPresent(id) { _, loss -> loss.copy(runsUntil = runsUntil) }
    }

    /**
     * Dismisses losses whose upstream would no longer be registered as that incarnation at [confirmedAt] if it had
     * ended.
     */
    fun dismissRegistered(confirmedAt: Duration, expiry: Duration) = dismiss("still registered") {
        it.runsUntil + expiry <= confirmedAt
    }

    private inline fun dismiss(reason: String, isRunning: (CrashLoss) -> Boolean) {
        if (rows.isEmpty()) return
        for ((fingerprint, row) in rows) {
            if (row.losses.isEmpty()) continue
            for (loss in row.losses.values.filter { !it.ended && isRunning(it) }) {
                row.losses.remove(loss.id)
                onDismissed(fingerprint, loss, reason)
            }
        }
    }

    /** Whether losses wait for what becomes of [upstream]. */
    fun hasOpenLosses(upstream: IncarnationId): Boolean =
        rows.values.any { row -> row.losses.values.any { it.upstream == upstream && it.open } }

    /**
     * Records that a request with [fingerprint] was answered at [at]; returns the number of losses that this clears.
     * The time is retained for a while, since other entries may still report these losses.
     */
    fun recordAnswer(fingerprint: Long, at: Duration): Int {
        val row = (if (rows.isEmpty()) null else rows[fingerprint]) ?: return 0
        val before = row.losses.size
        val recorded = row.recorded
        if (row.isSynchronized(at) || before > 1) row.clearedAt = maxOf(row.clearedAt, at)
        row.losses.values.removeIf { it.lostAt <= at }
        if (!row.refused) row.refusalReported = false
        if (recorded && !row.recorded) onCleared(fingerprint)
        return before - row.losses.size
    }

    /** Number of upstreams that ended, or may have, under requests with [fingerprint], as is known at [now]. */
    fun lossCount(fingerprint: Long, now: Duration): Int =
        rows[fingerprint]?.losses?.values?.count { it.counts(now) } ?: 0

    /** Whether upstreams ended, or may turn out to have ended, under requests with [fingerprint]. */
    fun hasLosses(fingerprint: Long): Boolean = rows[fingerprint]?.losses?.values?.any { it.ended || it.open } ?: false

    /** Whether a request with [fingerprint] that arrived at [now] may be sent. */
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        expire(now)
        val row = rows[fingerprint] ?: return CrashVerdict.ADMITTED
        val verdict = row.verdict(now)
        if (verdict == CrashVerdict.REFUSED) row.seenAt = maxOf(row.seenAt, now)
        return verdict
    }

    /**
     * Whether several upstreams ended at the same moment under requests with [fingerprint], so that such requests may
     * only be sent one at a time.
     */
    fun isAmbiguous(fingerprint: Long): Boolean = rows[fingerprint]?.ambiguous ?: false

    /** Whether requests with [fingerprint] have become refused since the last call. */
    fun becameRefused(fingerprint: Long): Boolean {
        val row = rows[fingerprint] ?: return false
        if (row.refusalReported || !row.refused) return false
        row.refusalReported = true
        return true
    }

    /** Whether losses under requests with [fingerprint] have to be known to entries that start. */
    fun isRecorded(fingerprint: Long): Boolean = rows[fingerprint]?.recorded ?: false

    /** Rows to synchronize between entries, by fingerprint. Single losses are announced once and not synchronized. */
    fun rowsToSync(now: Duration): Map<Long, CrashRow> {
        expire(now)
        return rows.filterValues { it.isSynchronized(now) || it.clearedAt > -Duration.INFINITE }
    }

    /** Digest that is equal at entries with the same state; 0 when there are no rows to synchronize. */
    fun digest(now: Duration): Long {
        expire(now)
        var sum = 0L
        for ((fingerprint, row) in rows) if (row.isSynchronized(now)) sum += fingerprint * row.digest(now)
        return sum
    }

    private fun expire(now: Duration) {
        if (rows.isEmpty() || now < nextExpiryAt) return
        nextExpiryAt = now + EXPIRY_INTERVAL
        val expired = rows.filterValues { it.isExpired(now) }
        for ((fingerprint, row) in expired) {
            rows.remove(fingerprint)
            if (row.recorded) onCleared(fingerprint)
        }
    }

    /**
     * Removes one row to make room: rows that are not refused first, and among equals the one with the oldest
     * [CrashRow.seenAt].
     */
    private fun evict() {
        val oldest = rows.entries.minWith(compareBy({ it.value.refused }, { it.value.seenAt }))
        rows.remove(oldest.key)
    }

    companion object {
        /** Upstreams that end under a request before it is refused. */
        const val LIMIT: Int = 3

        /** A row without a new loss or refusal for this long is dropped. */
        val EXPIRY: Duration = 10.minutes
        private val EXPIRY_INTERVAL = 1.seconds
        private const val MAX_FINGERPRINTS = 1_000
    }
}
