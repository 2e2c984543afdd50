package io.poplarwood.gateway.decision

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the upstream of one attempt.
 *
 * Answers load where a share of the upstreams is several times slower at any moment and which ones changes within
 * hundreds of milliseconds: the last figure counts for less as it ages, and choices are random among those about as
 * good, so that entries with the same news do not all choose alike. Of these it takes those of its own zone, which
 * spares a round trip and also keeps entries of different zones apart.
 *
 * @param zone the entry's own; upstreams elsewhere cost a round trip between zones and its bytes
 */
internal class Placement(private val zone: Zone, private val random: Randomness) {
    /** What is known of upstreams that hold several requests. */
    val crowding = Crowding()

    /**
     * The upstream of [rows] with room that should answer first; null when none has any. Room is what it finishes most
     * with, which may be less than its slots.
     */
    fun free(rows: List<UpstreamRow>, job: Job, exclude: Set<String>, now: Duration): UpstreamRow? =
        pick(rows, job, now) { it.id !in exclude && hasRoom(it) && it.ownInFlight < allowed(it, now) }

    /** Whether [row] can run one more request at once without finishing less. */
    fun hasRoom(row: UpstreamRow): Boolean =
        row.inFlight < crowding.best(row.record.service, row.record.slots)

    /** How much longer than at an idle upstream work takes at one like [row] that holds what it finishes most with. */
    fun loadedFactor(row: UpstreamRow): Double {
        val slots = row.record.slots
        return crowding.factor(row.record.service, crowding.best(row.record.service, slots), slots)
    }

    /** Requests that the usable ones of [rows] run at once when they finish most. */
    fun capacity(rows: List<UpstreamRow>, now: Duration): Int =
        rows.sumOf { if (usable(it, now)) crowding.best(it.record.service, it.record.slots) else 0 }

    private fun allowed(row: UpstreamRow, now: Duration) = row.availability.allowed(row.record.slots, now)

    /** Whether [row] may get work now, or as soon as what it holds ends. */
    fun usable(row: UpstreamRow, now: Duration): Boolean = when (row.availability.state(now)) {
        AvailabilityState.READY, AvailabilityState.RETURNING -> true
        // What it holds may never end.
        AvailabilityState.ON_TRIAL -> row.ownInFlight == 0
        else -> false
    }

    /** When the first of [rows] may get work; null when none is known to. */
    fun usableFrom(rows: List<UpstreamRow>, exclude: Set<String>, now: Duration): Duration? =
        rows.filter { it.id !in exclude }.mapNotNull { it.availability.from(now) }.minOrNull()

    /** Time to an answer of [row] to [job]. */
    fun expected(row: UpstreamRow, job: Job, now: Duration): Duration {
        val slots = max(row.record.slots, 1)
        val ahead = max(row.inFlight + 1 - slots, 0).toDouble() / slots
        var factor = slowness(row, now) * (1 + ahead)
        factor *= crowding.factor(row.record.service, row.inFlight + 1, slots)
        if (row.availability.isCold(now)) factor *= COLD_FACTOR
        factor *= 1 + row.badShare * BAD_WEIGHT
        return job.work * factor + if (row.record.zone == zone) Duration.ZERO else farCost(job)
    }

    private fun farCost(job: Job) = CROSS_ZONE + CROSS_ZONE_100_KB * (job.bytes / HUNDRED_KB)

    /** How much slower than usual [row] is expected to be now. */
    fun slowness(row: UpstreamRow, now: Duration): Double {
        val age = now - row.slownessAt
        if (age >= SLOWNESS_LIFE) return TYPICAL_SLOWNESS
        val weight = 1 - age / SLOWNESS_LIFE
        return row.slowness * weight + TYPICAL_SLOWNESS * (1 - weight)
    }

    private inline fun pick(
        rows: List<UpstreamRow>,
        job: Job,
        now: Duration,
        allowed: (UpstreamRow) -> Boolean,
    ): UpstreamRow? {
        var least = Duration.INFINITE
        val candidates = ArrayList<UpstreamRow>(rows.size)
        val times = ArrayList<Duration>(rows.size)
        for (row in rows) {
            if (!allowed(row)) continue
            val time = expected(row, job, now)
            candidates += row
            times += time
            if (time < least) least = time
        }
        if (candidates.isEmpty()) return null
        val bound = least * SIMILAR
        val best = candidates.filterIndexed { i, _ -> times[i] <= bound }
        val near = best.filter { it.record.zone == zone }
        return anyOf(near.ifEmpty { best })
    }

    private fun anyOf(rows: List<UpstreamRow>): UpstreamRow = rows[random.nextInt(rows.size)]

    private companion object {
        /** Slowness of an upstream of which nothing recent is known: some are always slow. */
        const val TYPICAL_SLOWNESS = 1.75

        /** Span over which a figure of slowness loses its worth. */
        val SLOWNESS_LIFE = 350.milliseconds

        const val COLD_FACTOR = 2.0

        /** An attempt that fails costs about as much as several that do not. */
        const val BAD_WEIGHT = 3.0

        /** Times within this ratio of the best count as equal. */
        const val SIMILAR = 1.15

        /** What a hop between zones costs: its round trip, and the price of its bytes as time. */
        val CROSS_ZONE = 5.milliseconds
        val CROSS_ZONE_100_KB = 60.milliseconds
        const val HUNDRED_KB = 100_000.0
    }
}
