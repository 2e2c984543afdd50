package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

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
    val refused: Boolean get() = separateEnds { it.ended } >= CrashSuspects.LIMIT

    /** Whether this row is kept in the store. */
    val recorded: Boolean get() = separateEnds { it.ended } >= SHARE_THRESHOLD

    /** Whether this row is kept synchronized between entries. */
    fun isSynchronized(now: Duration): Boolean = recorded || isHeld(now)

    private fun isHeld(now: Duration) = separateEnds { it.counts(now) } >= CrashSuspects.LIMIT

    /**
     * Whether several upstreams ended at the same moment, so that it is open whether the request or something else
     * ended them.
     */
    val ambiguous: Boolean
        get() = !refused && losses.values.filter { it.ended }.distinctBy { it.upstream }.size >= CrashSuspects.LIMIT

    /** Whether a request with this fingerprint may be sent. */
    fun verdict(now: Duration): CrashVerdict = when {
        refused -> CrashVerdict.REFUSED
        isHeld(now) -> CrashVerdict.HELD
        else -> CrashVerdict.ADMITTED
    }

    /** Whether this row no longer holds information. */
    fun isExpired(now: Duration): Boolean =
        now - seenAt > CrashSuspects.EXPIRY || (losses.isEmpty() && now - clearedAt > CLEARED_RETENTION)

    /** Digest of what other entries should know of this row. */
    fun digest(now: Duration): Long = if (refused) 1 else losses.values.filter { it.counts(now) }.sumOf { it.id }

    /**
     * Number of upstreams that ended, or may have, one after the other, among the losses that [include] selects. One
     * end is counted once, however many attempts it cut. Ends of several upstreams at the same moment are counted once,
     * since something else may have ended them.
     */
    private inline fun separateEnds(include: (CrashLoss) -> Boolean): Int {
        val lastOf = HashMap<IncarnationId, CrashLoss>()
        var lastSeen: CrashLoss? = null
        var count = 0
        for (loss in losses.values.filter(include).sortedBy { it.lostAt }) {
            val sameEnd = lastOf[loss.upstream]?.let { loss.sentAt < it.lostAt } ?: false
            if (sameEnd || (loss.endSeen && lastSeen?.let { isSameMoment(it, loss) } == true)) continue
            lastOf[loss.upstream] = loss
            if (loss.endSeen) lastSeen = loss
            count++
        }
        return count
    }

    private fun isSameMoment(first: CrashLoss, second: CrashLoss) =
        second.sentAt < first.lostAt && second.lostAt - first.lostAt <= SAME_MOMENT

    private companion object {
        const val SHARE_THRESHOLD = 2

        /** What ends several upstreams at once, such as a loss of power, ends them within this time. */
        val SAME_MOMENT = 100.milliseconds

        /** Other entries may still report losses that were cleared up to this long ago. */
        val CLEARED_RETENTION = 1.minutes
    }
}
