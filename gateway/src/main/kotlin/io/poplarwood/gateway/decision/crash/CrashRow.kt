package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Losses under requests with one fingerprint. */
internal class CrashRow {
    val losses = LinkedHashMap<Long, CrashLoss>()

    /** When such a request last lost an upstream or came to be refused. */
    var seenAt: Duration = -Duration.INFINITE

    /** Losses up to then were cleared by an answer. */
    var clearedAt: Duration = -Duration.INFINITE

    /** Whether it was told that such requests are refused. */
    var refusalReported = false

    /** Whether enough upstreams are known to have ended. */
    val refused: Boolean get() = consecutive { it.confirmed } >= CrashSuspects.LIMIT

    /** Whether other entries are kept in step with it. */
    val shared: Boolean get() = consecutive { it.confirmed } >= SHARE_THRESHOLD

    /** Whether a request may be sent. */
    fun verdict(now: Duration): CrashVerdict = when {
        refused -> CrashVerdict.REFUSED
        consecutive { it.confirmed || now - it.at <= CONFIRMATION_TIMEOUT } >= CrashSuspects.LIMIT -> CrashVerdict.HELD
        else -> CrashVerdict.ADMITTED
    }

    /** Whether it says nothing any more. */
    fun isExpired(now: Duration): Boolean {
        losses.values.removeIf { !it.confirmed && now - it.at > CONFIRMATION_TIMEOUT }
        return now - seenAt > CrashSuspects.EXPIRY || (losses.isEmpty() && now - clearedAt > CLEARED_RETENTION)
    }

    /** A number that follows from what other entries should know. */
    fun digest(): Long = if (refused) 1 else losses.values.filter { it.confirmed }.sumOf { it.id }

    /**
     * Losses in a row among those that [counts] picks, each at an attempt that followed the loss before. Upstreams that
     * end at one moment while they run equal requests count as one: what ended them may be something else.
     */
    private inline fun consecutive(counts: (CrashLoss) -> Boolean): Int {
        var previousAt = -Duration.INFINITE
        var count = 0
        for (loss in losses.values.filter(counts).sortedBy { it.at }) {
            if (loss.since < previousAt) continue
            count++
            previousAt = loss.at
        }
        return count
    }

    private companion object {
        const val SHARE_THRESHOLD = 2

        /** Time within which it is known whether an upstream has ended. */
        val CONFIRMATION_TIMEOUT = 1.seconds

        /** Other entries may tell of losses that were cleared for this long. */
        val CLEARED_RETENTION = 1.minutes
    }
}
