package io.poplarwood.fleet.directory

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Selects the entries that a caller should use. */
class Directory internal constructor(private val random: RandomSource) {
    /** Selects up to [ENTRIES_PER_REPLY] of [members], those in [zone] first; the hash of [caller] distributes load. */
    internal fun reply(members: List<MemberRow>, service: ServiceName, zone: Zone?, caller: String): DirectoryReply {
        val usable = members.filter { it.ready && it.state != MemberState.LEAVING && it.state != MemberState.GONE }
        val zones = usable.groupBy { it.zone }.mapValues { smallestSubset(service, it.value) }
        val local = order(caller, zone?.let { zones[it] }.orEmpty())
        val remote = order(caller, zones.filterKeys { it != zone }.values.flatten())
        val rows = (local + remote).sortedBy { it.state == MemberState.SUSPECT }.take(ENTRIES_PER_REPLY)
        return DirectoryReply(rows.map { DirectoryEntry(it.callerAddress, it.zone, it.ref.toString()) }, lifetime())
    }

    /**
     * The shortest prefix of the entries of one zone, in the rendezvous order of [service], whose mean load is at most
     * [TARGET_LOAD]; at least [MIN_PER_ZONE] entries, and all entries when there is no such prefix.
     */
    private fun smallestSubset(service: ServiceName, zone: List<MemberRow>): List<MemberRow> {
        val ordered = Rendezvous.order(service.value, zone) { it.ref.id.value }
        var load = 0.0
        ordered.forEachIndexed { i, row ->
            load += row.load
            if (i + 1 >= MIN_PER_ZONE && load / (i + 1) <= TARGET_LOAD) return ordered.take(i + 1)
        }
        return ordered
    }

    private fun order(caller: String, rows: List<MemberRow>) = Rendezvous.order(caller, rows) { it.ref.id.value }

    /** Lifetime with jitter, so that callers that started at the same time do not stay synchronized. */
    private fun lifetime(): Duration = MEAN_LIFETIME * (1 - JITTER + 2 * JITTER * random.nextDouble())

    companion object {
        /** Maximum number of entries in one reply. */
        const val ENTRIES_PER_REPLY = 3

        /** Mean time for which a caller may cache a reply. */
        val MEAN_LIFETIME = 30.seconds

        /** Maximum time for which a caller may cache a reply. */
        val LONGEST_LIFETIME: Duration get() = MEAN_LIFETIME * (1 + JITTER)
        private const val JITTER = 0.2
        private const val MIN_PER_ZONE = 2
        private const val TARGET_LOAD = 0.6
    }
}
