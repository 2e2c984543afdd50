package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Which entries follow the store for all: a few that reach it, of different zones where there are several, so that the
 * store's calls do not grow with the number of entries and the loss of one is not noticed.
 *
 * Answers stores that turn some entries away: an entry follows the store itself as soon as nothing that it knows was
 * confirmed lately, whatever others say.
 */
internal class FollowerChoice(private val self: String, private val zone: String) {
    /**
     * Whether this entry follows the store.
     *
     * @param answers whether the store answers it
     * @param unconfirmed time since its knowledge was known to be the newest
     */
    fun follows(peers: Collection<PeerRow>, answers: Boolean, unconfirmed: Duration): Boolean {
        if (unconfirmed > UNCONFIRMED) return true
        val others = peers.filter { row -> row.hello?.let { it.storeAnswers && !it.stopping } ?: false }
            .map { Candidate(it.name, it.record.zone) }
        return if (answers) place(Candidate(self, zone), others) < FOLLOWERS else others.isEmpty()
    }

    /** How many of [others] go before [own]: the first of each zone, then the second of each, and so on. */
    private fun place(own: Candidate, others: List<Candidate>): Int {
        val all = others + own
        val rankOf = { one: Candidate -> all.count { it.zone == one.zone && it.name < one.name } }
        val order = compareBy<Candidate> { rankOf(it) }.thenBy { it.zone }
        return others.count { order.compare(it, own) < 0 }
    }

    private data class Candidate(val name: String, val zone: String)

    private companion object {
        const val FOLLOWERS = 2

        /** A follower's call ends within a second, and its next greeting tells of that. */
        val UNCONFIRMED = 1_500.milliseconds
    }
}
