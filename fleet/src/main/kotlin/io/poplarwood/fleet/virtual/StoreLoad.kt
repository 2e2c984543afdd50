package io.poplarwood.fleet.virtual

import kotlin.time.Duration

/** Number of operations that a [VirtualStore] has received, per second of virtual time. */
class StoreLoad {
    private val reads = HashMap<Long, Int>()
    private val writes = HashMap<Long, Int>()

    /** Number of operations that were served after the timeout of their client. */
    var late = 0
        internal set

    internal fun count(at: Duration, reads: Int, writes: Int) {
        this.reads.merge(at.inWholeSeconds, reads, Int::plus)
        this.writes.merge(at.inWholeSeconds, writes, Int::plus)
    }

    /** Maximum number of reads in any second of [from]..[to]. */
    fun peakReads(from: Duration, to: Duration): Int = peak(reads, from, to)

    /** Maximum number of row writes in any second of [from]..[to]. */
    fun peakWrites(from: Duration, to: Duration): Int = peak(writes, from, to)

    /** Number of reads in [from]..[to]. */
    fun totalReads(from: Duration, to: Duration): Int = sum(reads, from, to)

    /** Number of row writes in [from]..[to]. */
    fun totalWrites(from: Duration, to: Duration): Int = sum(writes, from, to)

    private fun peak(of: Map<Long, Int>, from: Duration, to: Duration): Int =
        (from.inWholeSeconds..to.inWholeSeconds).maxOf { of[it] ?: 0 }

    private fun sum(of: Map<Long, Int>, from: Duration, to: Duration): Int =
        (from.inWholeSeconds..to.inWholeSeconds).sumOf { of[it] ?: 0 }
}
