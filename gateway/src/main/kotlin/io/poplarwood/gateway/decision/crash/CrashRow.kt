package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Losses of upstreams under requests with one fingerprint. */
internal class CrashRow {
    val losses = LinkedHashMap<Long, CrashLoss>()

    /** When such a request last lost an upstream, or last arrived and was refused. */
    var seenAt: Duration = -Duration.INFINITE

    /** Losses up to this time were cleared by an answer. */
    var clearedAt: Duration = -Duration.INFINITE

    /** Whether the present refusal of such requests was reported. */
    var refusalReported = false

    /** Whether enough upstreams are known to have ended. */
    val refused: Boolean get() = consecutive { it.confirmed } >= CrashSuspects.LIMIT

    /** Whether this row is kept synchronized between entries. */
    val rowsToSync: Boolean get() = consecutive { it.confirmed } >= SHARE_THRESHOLD

    /** Whether a request with this fingerprint may be sent. */
    fun verdict(now: Duration): CrashVerdict = when {
        refused -> CrashVerdict.REFUSED
        consecutive {
            it.confirmed || now - it.lostAt <= CONFIRMATION_TIMEOUT
        } >= CrashSuspects.LIMIT -> CrashVerdict.HELD
        else -> CrashVerdict.ADMITTED
    }

    /** Whether this row no longer holds information. Also removes losses that were not confirmed in time. */
    fun isExpired(now: Duration): Boolean {
        losses.values.removeIf { !it.confirmed && now - it.lostAt > CONFIRMATION_TIMEOUT }
        return now - seenAt > CrashSuspects.EXPIRY || (losses.isEmpty() && now - clearedAt > CLEARED_RETENTION)
    }

    /** Digest of what other entries should know of this row. */
    fun digest(): Long = if (refused) 1 else losses.values.filter { it.confirmed }.sumOf { it.id }

    /**
     * Number of consecutive losses among those that [counts] selects, each at an attempt that began after the previous
     * loss. Upstreams that end at the same moment while they execute equal requests count as one loss, since something
     * else may have ended them.
     */
    private inline fun consecutive(counts: (CrashLoss) -> Boolean): Int {
        var previousAt = -Duration.INFINITE
        var count = 0
        for (loss in losses.values.filter(counts).sortedBy { it.lostAt }) {
            if (loss.exposedSince < previousAt) continue
            count++
            previousAt = loss.lostAt
        }
        return count
    }

    private companion object {
        const val SHARE_THRESHOLD = 2

        /** Time within which it is confirmed whether an upstream has ended. */
        val CONFIRMATION_TIMEOUT = 1.seconds

        /** Other entries may still report losses that were cleared up to this long ago. */
        val CLEARED_RETENTION = 1.minutes
    }
}
