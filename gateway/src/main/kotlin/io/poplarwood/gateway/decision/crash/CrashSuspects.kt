package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Requests under which upstreams ended, by fingerprint.
 *
 * Answers a request that ends each upstream that runs it and comes again: after [LIMIT] upstreams in a row, counted over
 * all entries, it is refused. A connection that breaks under a common request says little, so a loss counts for good
 * once it is confirmed that the upstream itself has ended; until then it counts for a moment. An answer to a request
 * with the fingerprint clears it.
 */
internal class CrashSuspects {
    private val rows = LinkedHashMap<Long, CrashRow>()
    private var expireAt = -Duration.INFINITE

    /** Takes in [loss] of a request with [fingerprint]; false when it says nothing new. */
    fun lost(fingerprint: Long, loss: CrashLoss, now: Duration): Boolean {
        val row = rows.getOrPut(fingerprint) { CrashRow() }
        val known = row.losses[loss.id]
        if (known != null && (known.confirmed || !loss.confirmed)) return false
        row.losses[loss.id] = loss
        row.touchedAt = maxOf(row.touchedAt, now)
        expire(now)
        if (rows.size > MAX_FINGERPRINTS) evict(now)
        return true
    }

    /** Drops the loss [id]: the upstream lives. */
    fun withdraw(fingerprint: Long, id: Long) {
        val row = rows[fingerprint] ?: return
        row.losses.remove(id)
        if (row.losses.isEmpty()) rows.remove(fingerprint)
    }

    /** Notes that a request with [fingerprint] was answered; returns the losses that this clears. */
    fun answered(fingerprint: Long): Int = if (rows.isEmpty()) 0 else rows.remove(fingerprint)?.losses?.size ?: 0

    /** Upstreams that seem to have ended under [fingerprint]. */
    fun losses(fingerprint: Long): Int = rows[fingerprint]?.losses?.size ?: 0

    /** Whether a request with [fingerprint] may be sent. */
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        expire(now)
        val row = rows[fingerprint] ?: return CrashVerdict.ADMITTED
        val verdict = row.verdict(now)
        if (verdict == CrashVerdict.REFUSED) row.touchedAt = now
        return verdict
    }

    private fun CrashRow.verdict(now: Duration) = when {
        inARow { it.confirmed } >= LIMIT -> CrashVerdict.REFUSED
        inARow { it.confirmed || now - it.at <= UNCONFIRMED } >= LIMIT -> CrashVerdict.HELD
        else -> CrashVerdict.ADMITTED
    }

    private fun expire(now: Duration) {
        if (rows.isEmpty() || now < expireAt) return
        expireAt = now + EXPIRE_EVERY
        for (row in rows.values) row.losses.values.removeIf { !it.confirmed && now - it.at > UNCONFIRMED }
        rows.values.removeIf { it.losses.isEmpty() || now - it.touchedAt > EXPIRY }
    }

    /** Makes room: requests that are not refused go first, and of each sort the one that came last the longest ago. */
    private fun evict(now: Duration) {
        val oldest = rows.entries.minWith(
            compareBy({ it.value.verdict(now) == CrashVerdict.REFUSED }, { it.value.touchedAt }),
        )
        rows.remove(oldest.key)
    }

    companion object {
        /** Upstreams that end in a row before a request is refused. */
        const val LIMIT: Int = 3

        /** A request that has not come for this long is forgotten. */
        val EXPIRY: Duration = 10.minutes

        /** Time within which it is known whether an upstream has ended. */
        val UNCONFIRMED: Duration = 1.seconds
        private val EXPIRE_EVERY = 1.seconds
        private const val MAX_FINGERPRINTS = 1_000
    }
}
