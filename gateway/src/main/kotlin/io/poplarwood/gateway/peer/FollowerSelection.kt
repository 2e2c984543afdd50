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
internal class FollowerSelection(private val self: String, private val zone: String) {
    /**
     * How this entry follows the store.
     *
     * @param active whether it takes callers; the others leave the store to those that do
     * @param answers whether the store answers it
     * @param staleness time since its knowledge was known to be the newest
     */
    fun mode(peers: Collection<PeerStatus>, active: Boolean, answers: Boolean, staleness: Duration): FollowPace {
        val others = peers.filter { peer -> peer.active && peer.hello?.stopping == false }
        val reachingStore = others.filter { it.hello?.storeAnswers ?: false }
        val competitors = if (answers || reachingStore.isNotEmpty()) reachingStore else others
        val selected = active && (answers || reachingStore.isEmpty()) && precedingCount(competitors) < FOLLOWER_COUNT
        return when {
            selected -> FollowPace.QUICK
            staleness > MAX_STALENESS -> FollowPace.SHARED
            else -> FollowPace.NONE
        }
    }

    /** How many of [competitors] go before this entry: the first of each zone, then the second of each, and so on. */
    private fun precedingCount(competitors: List<PeerStatus>): Int {
        val own = Candidate(self, zone)
        val others = competitors.map { Candidate(it.name, it.record.zone) }
        val all = others + own
        val rankInZone = { candidate: Candidate -> all.count { it.zone == candidate.zone && it.name < candidate.name } }
        val order = compareBy<Candidate> { rankInZone(it) }.thenBy { it.zone }
        return others.count { order.compare(it, own) < 0 }
    }

    private data class Candidate(val name: String, val zone: String)

    private companion object {
        const val FOLLOWER_COUNT = 2

        /** A follower's call ends within a second, and its next greeting tells of that. */
        val MAX_STALENESS = 1_500.milliseconds
    }
}
