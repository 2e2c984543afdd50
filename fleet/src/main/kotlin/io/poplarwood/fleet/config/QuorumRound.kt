package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks the members of a view for the sequence that each has in force.
 *
 * A change counts as accepted only once a majority of the view has it, so the largest sequence that a majority reports
 * is at least that of every change accepted before the round began: the round is a reading of the head without the
 * store.
 */
internal class QuorumRound(private val view: FleetView, val startedAt: Duration) {
    private val answers = LinkedHashMap<EntryRef, Long>()

    /** Counts an answer to a ping of this round. */
    fun recordAnswer(ref: EntryRef, applied: Long) {
        if (applied >= 0) answers[ref] = applied
    }

    /** Largest sequence reported, once a majority has answered. */
    fun sequence(): Long? = if (view.hasMajority(answers.keys)) answers.values.max() else null

    /** True when a majority of the runs that have not [ended] has at least [sequence] in force. */
    fun confirms(sequence: Long, ended: Set<EntryRef>): Boolean =
        view.hasMajority(answers.filterValues { it >= sequence }.keys, ended)

    fun expired(now: Duration): Boolean = now - startedAt >= TIMEOUT

    private companion object {
        val TIMEOUT = 800.milliseconds
    }
}
