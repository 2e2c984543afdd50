package io.poplarwood.decision.routing

import io.poplarwood.api.random.Randomness
import io.poplarwood.api.work.Rank
import kotlin.math.exp

/** Chooses the upstream of one attempt from a bounded sample, so that its cost does not depend on the fleet's size. */
internal class SlotPicker(
    private val rows: UpstreamTable,
    private val evidence: LatencyStatistics,
    private val ejection: Ejection,
    private val random: Randomness,
) {
    /** Rows with a lease that may be used now. */
    val withLease = RowSet()

    /** Rows that may get new work at all. */
    val usable = RowSet()

    /** Upstreams compared by the last choice. */
    var considered = 0
        private set

    private var tried = LongArray(INITIAL)
    private var stamp = 0L
    private var triedCount = 0
    private var freeChance = 0.7

    /** Starts a choice for [request]. */
    fun begin(request: RouteRequest) {
        stamp++
        considered = 0
        triedCount = 0
        for (i in request.tried.indices) {
            val row = rows.rowOf(request.tried[i])
            if (row < 0) continue
            if (row >= tried.size) tried = tried.copyOf(row * 2)
            if (tried[row] != stamp && row in usable) triedCount++
            tried[row] = stamp
        }
        // Once all have been tried, each may be tried again.
        if (triedCount >= usable.size) stamp++
    }

    /** The best row with a free lease for [rank], or -1. Urgent work leaves slow upstreams to the others. */
    fun lease(rank: Rank, alone: Boolean, slowToo: Boolean, now: Long): Int {
        var best = -1
        var bestScore = 0.0
        val start = start(withLease)
        for (k in 0 until minOf(withLease.size, SAMPLE)) {
            val row = withLease[(start + k) % withLease.size]
            considered++
            if (!fits(row, alone, now) || !slowToo && evidence.slow(row)) continue
            val score = if (rank == Rank.BACKGROUND) -evidence.expected(row) else evidence.expected(row)
            if (best < 0 || score < bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    /** The row without a free lease that most likely has a free slot, or -1 when none is likely enough. */
    fun withoutLease(alone: Boolean, now: Long): Int {
        var best = -1
        var bestScore = 0.0
        val start = start(usable)
        for (k in 0 until minOf(usable.size, SAMPLE)) {
            val row = usable[(start + k) % usable.size]
            considered++
            if (rows.optimistic[row] >= 1 || !fits(row, alone, now) || evidence.slow(row)) continue
            val chance = chance(row, now)
            if (chance < LEAST_CHANCE) continue
            val score = chance / (evidence.expected(row) + ROUND_TRIP_MICROS)
            if (score > bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    /** Takes in whether an attempt without a lease found a slot. */
    fun found(free: Boolean) {
        freeChance += ((if (free) 1.0 else 0.0) - freeChance) * CHANCE_WEIGHT
    }

    private fun chance(row: Int, now: Long): Double {
        if (rows.seenAt[row] == 0L) return freeChance
        val age = (now - rows.seenAt[row]).toDouble()
        val weight = exp(-age / maxOf(evidence.median, LEAST_AGE_MICROS))
        return weight * (if (rows.seenFree[row]) 1.0 else 0.0) + (1 - weight) * freeChance
    }

    private fun fits(row: Int, alone: Boolean, now: Long): Boolean {
        if (row < tried.size && tried[row] == stamp || rows.alone[row]) return false
        if (now < rows.restUntil[row] || rows.inFlight(row) >= rows.share[row]) return false
        if (alone && rows.inFlight(row) > 0) return false
        val share = ejection.share(row, now)
        return share >= 1.0 || random.nextDouble() < share
    }

    private fun start(set: RowSet) = if (set.size > 1) random.nextInt(set.size) else 0

    private companion object {
        const val INITIAL = 64

        /** Upstreams compared per choice. */
        const val SAMPLE = 8

        /** Chance of a free slot below which waiting for a lease is the better choice. */
        const val LEAST_CHANCE = 0.35
        const val ROUND_TRIP_MICROS = 2_000.0
        const val LEAST_AGE_MICROS = 2_000.0
        const val CHANCE_WEIGHT = 0.02
    }
}
