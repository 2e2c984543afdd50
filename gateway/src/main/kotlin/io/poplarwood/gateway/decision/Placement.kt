package io.poplarwood.gateway.decision

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Selects the upstream for one attempt.
 *
 * At any moment a share of the upstreams is several times slower than usual, and which ones are slow changes within
 * hundreds of milliseconds. Therefore a reported slowness counts for less as it ages, and the choice is random among
 * upstreams of similar expected latency, so that entries with the same observations do not all select the same one.
 * Among these, upstreams in the entry's own zone are preferred: they save a round trip between zones, and entries of
 * different zones spread over different upstreams.
 *
 * @param zone zone of this entry; an upstream in another zone costs a round trip between zones and the price of the
 * transferred bytes
 */
internal class Placement(private val zone: Zone, private val random: RandomSource) {
    /** How the service time depends on the number of requests in flight at an upstream. */
    val concurrencyModel = ConcurrencyModel()

    /**
     * Returns an upstream of [rows] that has capacity, that [admits] the request and that has about the lowest expected
     * latency, or null when there is none. The capacity is the concurrency with the highest throughput, which may be
     * less than the slots.
     */
    fun selectUpstream(
        rows: List<UpstreamRow>,
        job: RequestEstimate,
        exclude: Set<String>,
        now: Duration,
        admits: (UpstreamRow) -> Boolean = { true },
    ): UpstreamRow? = selectBest(rows, job, now) {
        it.id !in exclude && hasCapacity(it) && it.ownInFlight < inFlightLimit(it, now) && admits(it)
    }

    /** Whether one more request in flight does not lower the throughput of [row]. */
    fun hasCapacity(row: UpstreamRow): Boolean =
        row.inFlight < concurrencyModel.concurrencyLimit(row.record.service, row.record.slots)

    /** Load factor of an upstream like [row] at its concurrency limit, relative to an idle upstream. */
    fun saturatedLoadFactor(row: UpstreamRow): Double {
        val slots = row.record.slots
        return concurrencyModel.loadFactor(
            row.record.service,
            concurrencyModel.concurrencyLimit(row.record.service, slots),
            slots,
        )
    }

    /** Sum of the concurrency limits of the usable upstreams of [rows]. */
    fun capacity(rows: List<UpstreamRow>, now: Duration): Int =
        rows.sumOf {
            if (isUsable(it, now)) concurrencyModel.concurrencyLimit(it.record.service, it.record.slots) else 0
        }

    private fun inFlightLimit(row: UpstreamRow, now: Duration) = row.availability.inFlightLimit(row.record.slots, now)

    /** Whether [row] may receive work now, or as soon as a request in flight there ends. */
    fun isUsable(row: UpstreamRow, now: Duration): Boolean = when (row.availability.state(now)) {
        AvailabilityState.READY, AvailabilityState.RETURNING -> true
        // A request in flight at an upstream on probation may never end.
        AvailabilityState.ON_TRIAL -> row.ownInFlight == 0
        else -> false
    }

    /** Earliest time at which one of [rows] may receive work, or null when it is not known for any. */
    fun earliestUsableAt(rows: List<UpstreamRow>, exclude: Set<String>, now: Duration): Duration? =
        rows.filter { it.id !in exclude }.mapNotNull { it.availability.earliestUsableAt(now) }.minOrNull()

    /** Expected latency of [job] at [row], with the cost of the transfer between zones expressed as time. */
    fun expectedLatency(row: UpstreamRow, job: RequestEstimate, now: Duration): Duration {
        val slots = max(row.record.slots, 1)
        val queuedPerSlot = max(row.inFlight + 1 - slots, 0).toDouble() / slots
        var factor = estimatedSlowness(row, now) * (1 + queuedPerSlot)
        factor *= concurrencyModel.loadFactor(row.record.service, row.inFlight + 1, slots)
        if (row.availability.isWarmingUp(now)) factor *= WARMUP_FACTOR
        factor *= 1 + row.failureRate * FAILURE_WEIGHT
        return job.serviceTime * factor + if (row.record.zone == zone) Duration.ZERO else crossZoneCost(job)
    }

    private fun crossZoneCost(job: RequestEstimate) =
        CROSS_ZONE_LATENCY + CROSS_ZONE_COST_PER_100_KB * (job.bodyBytes / BYTES_PER_100_KB)

    /** Slowness of [row] expected now, as a multiple of the usual service time. */
    fun estimatedSlowness(row: UpstreamRow, now: Duration): Double {
        val age = now - row.slownessAt
        if (age >= SLOWNESS_MAX_AGE) return TYPICAL_SLOWNESS
        val weight = 1 - age / SLOWNESS_MAX_AGE
        return row.slowness * weight + TYPICAL_SLOWNESS * (1 - weight)
    }

    private inline fun selectBest(
        rows: List<UpstreamRow>,
        job: RequestEstimate,
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
        /** Slowness assumed without a recent report: a share of the upstreams is always slow. */
        const val TYPICAL_SLOWNESS = 1.75

        /** Age at which a reported slowness no longer counts. */
        val SLOWNESS_MAX_AGE = 350.milliseconds

        const val WARMUP_FACTOR = 2.0

        /** A failed attempt costs about as much as several successful ones. */
        const val FAILURE_WEIGHT = 3.0

        /** Latencies within this ratio of the lowest count as equal. */
        const val SIMILAR_RATIO = 1.15

        /** Cost of a hop between zones: its round trip, and the price of the transferred bytes expressed as time. */
        val CROSS_ZONE_LATENCY = 5.milliseconds
        val CROSS_ZONE_COST_PER_100_KB = 60.milliseconds
        const val BYTES_PER_100_KB = 100_000.0
    }
}
