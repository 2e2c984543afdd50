package io.poplarwood.fleet.directory

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.fleet.membership.MemberRow
import io.poplarwood.fleet.membership.MemberState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tells callers which entries to use. */
class Directory internal constructor(private val random: Randomness) {
    /** Names up to [ENTRIES_PER_REPLY] of [members]: those in [zone] first, spread over callers by [caller]'s address. */
    internal fun reply(members: List<MemberRow>, service: ServiceName, zone: Zone?, caller: String): DirectoryReply {
        val usable = members.filter { it.ready && it.state != MemberState.LEAVING && it.state != MemberState.GONE }
        val zones = usable.groupBy { it.zone }.mapValues { smallestSubset(service, it.value) }
        val local = order(caller, zone?.let { zones[it] }.orEmpty())
        val remote = order(caller, zones.filterKeys { it != zone }.values.flatten())
        val rows = (local + remote).sortedBy { it.state == MemberState.SUSPECT }.take(ENTRIES_PER_REPLY)
        return DirectoryReply(rows.map { DirectoryEntry(it.callerAddress, it.zone, it.ref.toString()) }, lifetime())
    }

    /** The fewest entries of one zone, in the order that all agree on, whose mean load leaves room. */
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

    /** Jittered, so that callers that started together do not ask together for ever. */
    private fun lifetime(): Duration = MEAN_LIFETIME * (1 - JITTER + 2 * JITTER * random.nextDouble())

    companion object {
        /** Entries named in one answer. */
        const val ENTRIES_PER_REPLY = 3

        /** Mean time for which an answer may be kept. */
        val MEAN_LIFETIME = 30.seconds

        /** Longest time for which an answer may be kept. */
        val LONGEST_LIFETIME: Duration get() = MEAN_LIFETIME * (1 + JITTER)
        private const val JITTER = 0.2
        private const val MIN_PER_ZONE = 2
        private const val TARGET_LOAD = 0.6
    }
}
