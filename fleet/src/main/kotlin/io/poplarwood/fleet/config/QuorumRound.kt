package io.poplarwood.fleet.config

import io.poplarwood.api.id.EntryRef
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Collects the sequence that each member of a view has in force, as a reading of the head without the store.
 *
 * A change is accepted only once a majority of the view has it in force. The largest sequence that a majority reports
 * is therefore at least that of every change accepted before the start of the round.
 */
internal class QuorumRound(private val view: FleetView, val startedAt: Duration) {
    private val answers = LinkedHashMap<EntryRef, Long>()

    /** Records the answer of [ref] to a ping of this round; a negative sequence is not counted. */
    fun recordAnswer(ref: EntryRef, applied: Long) {
        if (applied >= 0) answers[ref] = applied
    }

    /** Largest reported sequence; null until a majority has answered. */
    fun sequence(): Long? = if (view.hasMajority(answers.keys)) answers.values.max() else null

    /** True when a majority, not counting the runs in [ended], has at least [sequence] in force. */
    fun confirms(sequence: Long, ended: Set<EntryRef>): Boolean =
        view.hasMajority(answers.filterValues { it >= sequence }.keys, ended)

    fun expired(now: Duration): Boolean = now - startedAt >= TIMEOUT

    private companion object {
        val TIMEOUT = 800.milliseconds
    }
}
