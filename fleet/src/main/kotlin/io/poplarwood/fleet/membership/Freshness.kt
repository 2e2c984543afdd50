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
 * [FRESH_FOR] old.
 */
internal class Freshness {
    private class Reading(val sequence: Long, val taken: Duration)

    private val pending = ArrayDeque<Reading>()
    private var latest: Reading? = null
    private var confirmed: Duration? = null

    /** Largest sequence that any reading gave. */
    var head = -1L
        private set

    fun read(sequence: Long, taken: Duration, applied: Long) {
        head = maxOf(head, sequence)
        if (taken > (latest?.taken ?: -Duration.INFINITE)) latest = Reading(sequence, taken)
        if (sequence <= applied) {
            confirm(taken)
        } else {
            if (pending.size >= MAX_PENDING) pending.removeFirst()
            pending.addLast(Reading(sequence, taken))
        }
    }

    fun applied(sequence: Long) {
        pending.filter { it.sequence <= sequence }.forEach { confirm(it.taken) }
        pending.removeAll { it.sequence <= sequence }
    }

    /** Forgets all confirmations: the next reading decides. */
    fun forget() {
        confirmed = null
        pending.clear()
    }

    fun fresh(now: Duration): Boolean = confirmed?.let { now - it < FRESH_FOR } ?: false

    /** Age of the latest reading. */
    fun age(now: Duration): Duration = latest?.let { now - it.taken } ?: Duration.INFINITE

    /** The latest reading, to be passed on; null when it is too old to help anyone. */
    fun reading(now: Duration): HeadReading? {
        val known = latest ?: return null
        val age = now - known.taken
        if (age >= FRESH_FOR) return null
        // Rounded up, so that the receiver never takes the reading for newer than it is.
        return HeadReading(known.sequence, age.inWholeMilliseconds + 1)
    }

    private fun confirm(taken: Duration) {
        confirmed = maxOf(confirmed ?: taken, taken)
    }

    companion object {
        /** Time for which one reading allows new work. */
        val FRESH_FOR = 3.seconds

        /** Age of the latest reading from which an entry asks for another. */
        val RENEW_AFTER = 1_000.milliseconds
        private const val MAX_PENDING = 16
    }
}
