package io.poplarwood.fleet.membership

import io.poplarwood.fleet.message.HeadReading
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether the configuration applied by this entry is recent enough for new requests.
 *
 * A reading `(sequence, takenAt)` states that every change accepted before `takenAt` has at most that sequence. It
 * comes from the head row of the store or from a majority of the view, obtained by this entry or by a peer. `takenAt`
 * is on the clock of this process and is never later than the actual time of the reading. The entry is fresh while it
 * has applied the sequence of a reading that is less than [READING_VALIDITY] old.
 */
internal class Freshness {
    private class Reading(val sequence: Long, val takenAt: Duration)

    private val pending = ArrayDeque<Reading>()
    private var latest: Reading? = null
    private var confirmedAt: Duration? = null

    /** Largest sequence of all readings; -1 before the first one. */
    var head = -1L
        private set

    /** Records a reading; it confirms freshness at once, or later, when [onApplied] reaches its sequence. */
    fun record(sequence: Long, takenAt: Duration, applied: Long) {
        head = maxOf(head, sequence)
        if (takenAt > (latest?.takenAt ?: -Duration.INFINITE)) latest = Reading(sequence, takenAt)
        if (sequence <= applied) {
            confirm(takenAt)
        } else {
            if (pending.size >= MAX_PENDING) pending.removeFirst()
            pending.addLast(Reading(sequence, takenAt))
        }
    }

    fun onApplied(sequence: Long) {
        pending.filter { it.sequence <= sequence }.forEach { confirm(it.takenAt) }
        pending.removeAll { it.sequence <= sequence }
    }

    /** Discards all confirmations, so that the entry is not fresh until the next reading. */
    fun reset() {
        confirmedAt = null
        pending.clear()
    }

    fun isFresh(now: Duration): Boolean = confirmedAt?.let { now - it < READING_VALIDITY } ?: false

    /** Age of the latest reading. */
    fun age(now: Duration): Duration = latest?.let { now - it.takenAt } ?: Duration.INFINITE

    /** The latest reading for peers; null when it is older than [READING_VALIDITY]. */
    fun shareableReading(now: Duration): HeadReading? {
        val known = latest ?: return null
        val age = now - known.takenAt
        if (age >= READING_VALIDITY) return null
        // Rounded up, so that the receiver never overestimates how recent the reading is.
        return HeadReading(known.sequence, age.inWholeMilliseconds + 1)
    }

    private fun confirm(takenAt: Duration) {
        confirmedAt = maxOf(confirmedAt ?: takenAt, takenAt)
    }

    companion object {
        /** Time for which a reading allows new requests. */
        val READING_VALIDITY = 3.seconds

        /** Age of the latest reading from which an entry requests another one. */
        val RENEW_AFTER = 1_000.milliseconds
        private const val MAX_PENDING = 16
    }
}
