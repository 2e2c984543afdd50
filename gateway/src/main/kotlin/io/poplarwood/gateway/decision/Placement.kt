package io.poplarwood.gateway.decision

import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the upstream of one attempt.
 *
 * Answers load where a share of the upstreams is several times slower at any moment and which ones changes within
 * hundreds of milliseconds: the last figure counts for less as it ages, and choices are random among those about as
 * good, so that entries with the same news do not all choose alike.
 *
 * @param zone the entry's own; upstreams elsewhere cost a round trip between zones and its bytes
 */
internal class Placement(private val zone: Zone, private val random: Randomness) {
    /** The upstream of [rows] with a free slot that should answer first; null when none has one. */
    fun free(rows: List<UpstreamRow>, work: Duration, exclude: Set<String>, now: Duration): UpstreamRow? =
        pick(rows, work, now) { it.id !in exclude && usable(it, now) && it.freeSlots > 0 }

    /** The upstream of [rows] that should answer first although its slots are taken; null when none is usable. */
    fun queued(rows: List<UpstreamRow>, work: Duration, exclude: Set<String>, now: Duration): UpstreamRow? =
        pick(rows, work, now) { it.id !in exclude && usable(it, now) && it.inFlight < it.record.slots * QUEUE_FACTOR }

    /** Whether [row] may get work now. */
    fun usable(row: UpstreamRow, now: Duration): Boolean {
        if (row.record.draining || row.goneAt != null) return false
        if (row.failures == 0 || now >= row.restUntil + TRIAL_SPAN) return true
        return now >= row.restUntil && row.ownInFlight == 0
    }

    /** Time to an answer to a request that takes [work] at an idle upstream of usual speed. */
    fun expected(row: UpstreamRow, work: Duration, now: Duration): Duration {
        val slots = max(row.record.slots, 1)
        val ahead = max(row.inFlight + 1 - slots, 0).toDouble() / slots
        var factor = slowness(row, now) * (1 + ahead)
        if (row.inFlight + 1 > slots * KNEE) factor *= KNEE_FACTOR
        if (now < row.warmUntil) factor *= COLD_FACTOR
        factor *= 1 + row.badShare * BAD_WEIGHT
        return work * factor + if (row.record.zone == zone) Duration.ZERO else CROSS_ZONE
    }

    /** How much slower than usual [row] is expected to be now. */
    fun slowness(row: UpstreamRow, now: Duration): Double {
        val age = now - row.slownessAt
        if (age >= SLOWNESS_LIFE) return TYPICAL_SLOWNESS
        val weight = 1 - age / SLOWNESS_LIFE
        return row.slowness * weight + TYPICAL_SLOWNESS * (1 - weight)
    }

    private inline fun pick(
        rows: List<UpstreamRow>,
        work: Duration,
        now: Duration,
        allowed: (UpstreamRow) -> Boolean,
    ): UpstreamRow? {
        var least = Duration.INFINITE
        val candidates = ArrayList<UpstreamRow>(rows.size)
        val times = ArrayList<Duration>(rows.size)
        for (row in rows) {
            if (!allowed(row)) continue
            val time = expected(row, work, now)
            candidates += row
            times += time
            if (time < least) least = time
        }
        if (candidates.isEmpty()) return null
        val bound = least * SIMILAR
        var chosen: UpstreamRow? = null
        var seen = 0
        for (i in candidates.indices) {
            if (times[i] > bound) continue
            seen++
            if (random.nextInt(seen) == 0) chosen = candidates[i]
        }
        return chosen
    }

    private companion object {
        /** Slowness of an upstream of which nothing recent is known: some are always slow. */
        const val TYPICAL_SLOWNESS = 1.75

        /** Span over which a figure of slowness loses its worth. */
        val SLOWNESS_LIFE = 350.milliseconds

        /** Use of slots above which upstreams slow down. */
        const val KNEE = 0.8
        const val KNEE_FACTOR = 1.4
        const val COLD_FACTOR = 2.0

        /** An attempt that fails costs about as much as several that do not. */
        const val BAD_WEIGHT = 3.0

        /** Times within this ratio of the best count as equal. */
        const val SIMILAR = 1.15

        /** Requests, in multiples of its slots, beyond which an upstream would most likely shed one more. */
        const val QUEUE_FACTOR = 2

        /** What a hop between zones costs: its round trip and the price of its bytes. */
        val CROSS_ZONE = 5.milliseconds

        /** After a rest an upstream gets one request at a time for this long. */
        val TRIAL_SPAN = 1_000.milliseconds
    }
}
