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
    /** Names up to [NAMED] of [members]: those in [zone] first, spread over callers by [caller]'s address. */
    internal fun answer(members: List<MemberRow>, service: ServiceName, zone: Zone?, caller: String): DirectoryAnswer {
        val usable = members.filter { it.ready && it.state != MemberState.LEAVING && it.state != MemberState.GONE }
        val zones = usable.groupBy { it.zone }.mapValues { serving(service, it.value) }
        val near = order(caller, zone?.let { zones[it] }.orEmpty())
        val far = order(caller, zones.filterKeys { it != zone }.values.flatten())
        val rows = (near + far).sortedBy { it.state == MemberState.SUSPECT }.take(NAMED)
        return DirectoryAnswer(rows.map { NamedEntry(it.callerAddress, it.zone, it.ref.toString()) }, lifetime())
    }

    /** The fewest entries of one zone, in the order that all agree on, whose mean load leaves room. */
    private fun serving(service: ServiceName, zone: List<MemberRow>): List<MemberRow> {
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
    private fun lifetime(): Duration = LIFETIME * (1 - JITTER + 2 * JITTER * random.nextDouble())

    companion object {
        /** Entries named in one answer. */
        const val NAMED = 3

        /** Mean time for which an answer may be kept. */
        val LIFETIME = 30.seconds

        /** Longest time for which an answer may be kept. */
        val LONGEST_LIFETIME: Duration get() = LIFETIME * (1 + JITTER)
        private const val JITTER = 0.2
        private const val MIN_PER_ZONE = 2
        private const val TARGET_LOAD = 0.6
    }
}
