package io.poplarwood.decision.routing

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.work.Rank
import kotlin.math.exp

/** Chooses the upstream of one attempt from a bounded sample, so that the cost is independent of the service's size. */
internal class SlotPicker(
    private val rows: UpstreamTable,
    private val latencies: LatencyStatistics,
    private val ejection: Ejection,
    private val random: RandomSource,
) {
    /** Rows that may be used now and have an idle lease. */
    val withIdleLease = RowSet()

    /** Rows that may get new work. */
    val usable = RowSet()

    /** Number of upstreams compared by the last choice. */
    var considered = 0
        private set

    private var triedIn = LongArray(INITIAL_CAPACITY)
    private var generation = 0L
    private var triedCount = 0
    private var meanFreeProbability = 0.7

    /** Starts a choice for [request]. */
    fun begin(request: RouteRequest) {
        generation++
        considered = 0
        triedCount = 0
        for (i in request.tried.indices) {
            val row = rows.rowOf(request.tried[i])
            if (row < 0) continue
            if (row >= triedIn.size) triedIn = triedIn.copyOf(row * 2)
            if (triedIn[row] != generation && row in usable) triedCount++
            triedIn[row] = generation
        }
        // Once all usable upstreams have been tried, each of them may be tried again.
        if (triedCount >= usable.size) generation++
    }

    /**
     * The best row with an idle lease for [rank], or -1. [allowSlow] admits slow upstreams, which urgent work leaves to
     * other ranks at first.
     */
    fun leasedRow(rank: Rank, alone: Boolean, allowSlow: Boolean, now: Long): Int {
        var best = -1
        var bestScore = 0.0
        val start = randomStart(withIdleLease)
        for (k in 0 until minOf(withIdleLease.size, SAMPLE_SIZE)) {
            val row = withIdleLease[(start + k) % withIdleLease.size]
            considered++
            if (!mayDispatch(row, alone, now) || !allowSlow && latencies.isSlow(row)) continue
            val score = if (rank == Rank.BACKGROUND) -latencies.expected(row) else latencies.expected(row)
            if (best < 0 || score < bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    /** The row without an idle lease that most likely has a free slot, or -1 when none is likely enough. */
    fun unleasedRow(alone: Boolean, now: Long): Int {
        var best = -1
        var bestScore = 0.0
        val start = randomStart(usable)
        for (k in 0 until minOf(usable.size, SAMPLE_SIZE)) {
            val row = usable[(start + k) % usable.size]
            considered++
            if (rows.unleasedInFlight[row] >= 1 || !mayDispatch(row, alone, now) || latencies.isSlow(row)) continue
            val freeProbability = freeProbability(row, now)
            if (freeProbability < MIN_FREE_PROBABILITY) continue
            val score = freeProbability / (latencies.expected(row) + ROUND_TRIP_MICROS)
            if (score > bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    /** Records whether an attempt without a lease found a free slot. */
    fun recordUnleasedResult(free: Boolean) {
        meanFreeProbability += ((if (free) 1.0 else 0.0) - meanFreeProbability) * RESULT_WEIGHT
    }

    private fun freeProbability(row: Int, now: Long): Double {
        if (rows.observedAt[row] == 0L) return meanFreeProbability
        val age = (now - rows.observedAt[row]).toDouble()
        val weight = exp(-age / maxOf(latencies.median, MIN_DECAY_MICROS))
        return weight * (if (rows.observedFree[row]) 1.0 else 0.0) + (1 - weight) * meanFreeProbability
    }

    private fun mayDispatch(row: Int, alone: Boolean, now: Long): Boolean {
        if (row < triedIn.size && triedIn[row] == generation || rows.runningAlone[row]) return false
        if (now < rows.backoffUntil[row] || rows.inFlight(row) >= rows.connectionShare[row]) return false
        if (alone && rows.inFlight(row) > 0) return false
        val share = ejection.workShare(row, now)
        return share >= 1.0 || random.nextDouble() < share
    }

    private fun randomStart(set: RowSet) = if (set.size > 1) random.nextInt(set.size) else 0

    private companion object {
        const val INITIAL_CAPACITY = 64

        /** Upstreams compared per choice. */
        const val SAMPLE_SIZE = 8

        /** Probability of a free slot below which the call waits for a lease instead. */
        const val MIN_FREE_PROBABILITY = 0.35
        const val ROUND_TRIP_MICROS = 2_000.0
        const val MIN_DECAY_MICROS = 2_000.0
        const val RESULT_WEIGHT = 0.02
    }
}
