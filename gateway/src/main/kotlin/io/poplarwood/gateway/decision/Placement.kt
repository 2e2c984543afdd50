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
    val crowding = ConcurrencyModel()

    /**
     * The upstream of [rows] with room that should answer first; null when none has any. Room is what it finishes most
     * with, which may be less than its slots.
     */
    fun free(rows: List<UpstreamRow>, job: Job, exclude: Set<String>, now: Duration): UpstreamRow? =
        selectBest(rows, job, now) { it.id !in exclude && hasCapacity(it) && it.ownInFlight < inFlightLimit(it, now) }

    /** Whether [row] can run one more request at once without finishing less. */
    fun hasCapacity(row: UpstreamRow): Boolean =
        row.inFlight < crowding.concurrencyLimit(row.record.service, row.record.slots)

    /** How much longer than at an idle upstream work takes at one like [row] that holds what it finishes most with. */
    fun saturatedLoadFactor(row: UpstreamRow): Double {
        val slots = row.record.slots
        return crowding.loadFactor(row.record.service, crowding.concurrencyLimit(row.record.service, slots), slots)
    }

    /** Requests that the usable ones of [rows] run at once when they finish most. */
    fun capacity(rows: List<UpstreamRow>, now: Duration): Int =
        rows.sumOf { if (isUsable(it, now)) crowding.concurrencyLimit(it.record.service, it.record.slots) else 0 }

    private fun inFlightLimit(row: UpstreamRow, now: Duration) = row.availability.inFlightLimit(row.record.slots, now)

    /** Whether [row] may get work now, or as soon as what it holds ends. */
    fun isUsable(row: UpstreamRow, now: Duration): Boolean = when (row.availability.state(now)) {
        AvailabilityState.READY, AvailabilityState.RETURNING -> true
        // What it holds may never end.
        AvailabilityState.ON_TRIAL -> row.ownInFlight == 0
        else -> false
    }

    /** When the first of [rows] may get work; null when none is known to. */
    fun usableFrom(rows: List<UpstreamRow>, exclude: Set<String>, now: Duration): Duration? =
        rows.filter { it.id !in exclude }.mapNotNull { it.availability.from(now) }.minOrNull()

    /** Time to an answer of [row] to [job]. */
    fun expectedLatency(row: UpstreamRow, job: Job, now: Duration): Duration {
        val slots = max(row.record.slots, 1)
        val queuedPerSlot = max(row.inFlight + 1 - slots, 0).toDouble() / slots
        var factor = estimatedSlowness(row, now) * (1 + queuedPerSlot)
        factor *= crowding.loadFactor(row.record.service, row.inFlight + 1, slots)
        if (row.availability.isWarmingUp(now)) factor *= WARMUP_FACTOR
        factor *= 1 + row.failureRate * FAILURE_WEIGHT
        return job.work * factor + if (row.record.zone == zone) Duration.ZERO else crossZoneCost(job)
    }

    private fun crossZoneCost(job: Job) =
        CROSS_ZONE_LATENCY + CROSS_ZONE_COST_PER_100_KB * (job.bytes / BYTES_PER_100_KB)

    /** How much slower than usual [row] is expected to be now. */
    fun estimatedSlowness(row: UpstreamRow, now: Duration): Double {
        val age = now - row.slownessAt
        if (age >= SLOWNESS_MAX_AGE) return TYPICAL_SLOWNESS
        val weight = 1 - age / SLOWNESS_MAX_AGE
        return row.slowness * weight + TYPICAL_SLOWNESS * (1 - weight)
    }

    private inline fun selectBest(
        rows: List<UpstreamRow>,
        job: Job,
        now: Duration,
        eligible: (UpstreamRow) -> Boolean,
    ): UpstreamRow? {
        var shortest = Duration.INFINITE
        val candidates = ArrayList<UpstreamRow>(rows.size)
        val expectedTimes = ArrayList<Duration>(rows.size)
        for (row in rows) {
            if (!eligible(row)) continue
            val time = expectedLatency(row, job, now)
            candidates += row
            expectedTimes += time
            if (time < shortest) shortest = time
        }
        if (candidates.isEmpty()) return null
        val limit = shortest * SIMILAR_RATIO
        val similar = candidates.filterIndexed { i, _ -> expectedTimes[i] <= limit }
        val sameZone = similar.filter { it.record.zone == zone }
        return randomOf(sameZone.ifEmpty { similar })
    }

    private fun randomOf(rows: List<UpstreamRow>): UpstreamRow = rows[random.nextInt(rows.size)]

    private companion object {
        /** Slowness of an upstream of which nothing recent is known: some are always slow. */
        const val TYPICAL_SLOWNESS = 1.75

        /** Span over which a figure of slowness loses its worth. */
        val SLOWNESS_MAX_AGE = 350.milliseconds

        const val WARMUP_FACTOR = 2.0

        /** An attempt that fails costs about as much as several that do not. */
        const val FAILURE_WEIGHT = 3.0

        /** Times within this ratio of the best count as equal. */
        const val SIMILAR_RATIO = 1.15

        /** What a hop between zones costs: its round trip, and the price of its bytes as time. */
        val CROSS_ZONE_LATENCY = 5.milliseconds
        val CROSS_ZONE_COST_PER_100_KB = 60.milliseconds
        const val BYTES_PER_100_KB = 100_000.0
    }
}
