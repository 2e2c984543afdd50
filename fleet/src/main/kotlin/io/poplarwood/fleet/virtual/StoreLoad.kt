package io.poplarwood.fleet.virtual

import kotlin.time.Duration

/** Operations that a [VirtualStore] has received, by second. */
class StoreLoad {
    private val reads = HashMap<Long, Int>()
    private val writes = HashMap<Long, Int>()

    /** Operations that were served after their client had given up. */
    var late = 0
        internal set

    internal fun count(at: Duration, reads: Int, writes: Int) {
        this.reads.merge(at.inWholeSeconds, reads, Int::plus)
        this.writes.merge(at.inWholeSeconds, writes, Int::plus)
    }

    /** Most reads in any second of [from]..[to]. */
    fun peakReads(from: Duration, to: Duration): Int = peak(reads, from, to)

    /** Most row writes in any second of [from]..[to]. */
    fun peakWrites(from: Duration, to: Duration): Int = peak(writes, from, to)

    /** All reads in [from]..[to]. */
    fun totalReads(from: Duration, to: Duration): Int = sum(reads, from, to)

    /** All row writes in [from]..[to]. */
    fun totalWrites(from: Duration, to: Duration): Int = sum(writes, from, to)

    private fun peak(of: Map<Long, Int>, from: Duration, to: Duration): Int =
        (from.inWholeSeconds..to.inWholeSeconds).maxOf { of[it] ?: 0 }

    private fun sum(of: Map<Long, Int>, from: Duration, to: Duration): Int =
        (from.inWholeSeconds..to.inWholeSeconds).sumOf { of[it] ?: 0 }
}
