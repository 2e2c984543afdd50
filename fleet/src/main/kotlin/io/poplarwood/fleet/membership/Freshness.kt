package io.poplarwood.fleet.membership

import io.poplarwood.fleet.message.HeadReading
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether the documents in force here may be used for new work.
 *
 * A reading `(sequence, taken)` says that every change accepted before `taken` has at most that sequence. It comes
 * from the head row or from a majority of the view, here or at a peer; `taken` is on this process's clock and never
 * later than the reading was taken. The entry is fresh while it has applied the sequence of a reading that is at most
 * [READING_VALIDITY] old.
 */
internal class Freshness {
    private class Reading(val sequence: Long, val takenAt: Duration)

    private val pending = ArrayDeque<Reading>()
    private var latest: Reading? = null
    private var confirmedAt: Duration? = null

    /** Largest sequence that any reading gave. */
    var head = -1L
        private set

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

    /** Forgets all confirmations: the next reading decides. */
    fun reset() {
        confirmedAt = null
        pending.clear()
    }

    fun isFresh(now: Duration): Boolean = confirmedAt?.let { now - it < READING_VALIDITY } ?: false

    /** Age of the latest reading. */
    fun age(now: Duration): Duration = latest?.let { now - it.takenAt } ?: Duration.INFINITE

    /** The latest reading, to be passed on; null when it is too old to help anyone. */
    fun shareableReading(now: Duration): HeadReading? {
        val known = latest ?: return null
        val age = now - known.takenAt
        if (age >= READING_VALIDITY) return null
        // Rounded up, so that the receiver never takes the reading for newer than it is.
        return HeadReading(known.sequence, age.inWholeMilliseconds + 1)
    }

    private fun confirm(takenAt: Duration) {
        confirmedAt = maxOf(confirmedAt ?: takenAt, takenAt)
    }

    companion object {
        /** Time for which one reading allows new work. */
        val READING_VALIDITY = 3.seconds

        /** Age of the latest reading from which an entry asks for another. */
        val RENEW_AFTER = 1_000.milliseconds
        private const val MAX_PENDING = 16
    }
}
