package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.FollowPace
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Which entries follow the store for all: a few that reach it, of different zones where there are several, so that the
 * store's calls do not grow with the number of entries and the loss of one is not noticed.
 *
 * Answers stores that turn some entries away, and outages, in which every entry would ask: an entry for which nothing
 * was confirmed lately looks for itself, whatever others say, but at a pace that all entries share.
 */
internal class FollowerChoice(private val self: String, private val zone: String) {
    /**
     * How this entry follows the store.
     *
     * @param active whether it takes callers; the others leave the store to those that do
     * @param answers whether the store answers it
     * @param unconfirmed time since its knowledge was known to be the newest
     */
    fun pace(peers: Collection<PeerRow>, active: Boolean, answers: Boolean, unconfirmed: Duration): FollowPace {
        val others = peers.filter { row -> row.active && row.hello?.stopping == false }
        val answering = others.filter { it.hello?.storeAnswers ?: false }
        val rivals = if (answers || answering.isNotEmpty()) answering else others
        val chosen = active && (answers || answering.isEmpty()) && place(rivals) < FOLLOWERS
        return when {
            chosen -> FollowPace.QUICK
            unconfirmed > UNCONFIRMED -> FollowPace.SHARED
            else -> FollowPace.NONE
        }
    }

    /** How many of [rivals] go before this entry: the first of each zone, then the second of each, and so on. */
    private fun place(rivals: List<PeerRow>): Int {
        val own = Candidate(self, zone)
        val others = rivals.map { Candidate(it.name, it.record.zone) }
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
