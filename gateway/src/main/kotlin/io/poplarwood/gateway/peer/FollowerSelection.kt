package io.poplarwood.gateway.peer

import io.poplarwood.gateway.store.FollowMode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Selects the entries that follow the store for all: a few that the store answers, of different zones where possible.
 * The load on the store does not grow with the number of entries, and the loss of one follower does not interrupt the
 * updates. While a follower takes long to read a desired state, the next entry follows too, as the link may be slow.
 *
 * An entry whose data was not confirmed lately queries the store itself, whatever other entries report, because the
 * store may refuse some entries. In an outage every entry would do so, hence the rate is shared among all entries.
 */
internal class FollowerSelection(private val self: String, private val zone: String) {
    /**
     * How this entry follows the store.
     *
     * @param active whether this entry takes callers; standby entries do not follow the store
     * @param answers whether the store answers this entry
     * @param now reading of this entry's ticker
     * @param staleness time since the data of this entry was confirmed to be the newest
     * @param storeAnswers whether the store answered any entry lately
     */
    fun mode(
        peers: Collection<PeerStatus>,
        active: Boolean,
        answers: Boolean,
        now: Duration,
        staleness: Duration,
        storeAnswers: Boolean,
    ): FollowMode {
        val others = peers.filter { peer -> peer.active && peer.hello?.stopping == false }
        val reachingStore = others.filter { it.hello?.storeAnswers ?: false }
        val competitors = if (answers || reachingStore.isNotEmpty()) reachingStore else others
        val preceding = precedingCount(competitors.filter { it.readingTime(now) <= MAX_READING_TIME })
        val selected = active && (answers || reachingStore.isEmpty()) && preceding < FOLLOWER_COUNT
        return when {
            selected -> FollowMode.QUICK
            staleness > maxStaleness(others, now, storeAnswers) -> FollowMode.SHARED
            else -> FollowMode.NONE
        }
    }

    /** Shorter when the store answers, but none of the [others] that take callers can read what is new there. */
    private fun maxStaleness(others: List<PeerStatus>, now: Duration, storeAnswers: Boolean): Duration {
        val allLate = others.isNotEmpty() && others.all {
            it.readingTime(now) > MAX_READING_TIME || it.hello?.storeAnswers == false
        }
        return if (storeAnswers && allLate) MAX_STALENESS_IF_LATE else MAX_STALENESS
    }

    /** Number of [competitors] that precede this entry: the first of each zone, then the second of each, and so on. */
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

        /** Over a sound link a desired state arrives sooner. */
        val MAX_READING_TIME = 250.milliseconds

        /** A call of a follower ends within a second, and its next heartbeat then confirms the versions. */
        val MAX_STALENESS = 1_500.milliseconds
        val MAX_STALENESS_IF_LATE = 500.milliseconds
    }
}
