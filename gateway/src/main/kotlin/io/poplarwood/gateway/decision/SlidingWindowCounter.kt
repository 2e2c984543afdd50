package io.poplarwood.gateway.decision

import kotlin.time.Duration

/** Counts events over a sliding [window], with a resolution of 1/[BUCKETS] of the window. */
internal class SlidingWindowCounter(window: Duration) {
    private val bucketWidth = window / BUCKETS
    private val counts = IntArray(BUCKETS)
    private var currentBucket = 0L
    private var total = 0

    /** Records an event at [now]. */
    fun add(now: Duration) {
        advance(now)
        counts[indexOf(currentBucket)]++
        total++
    }

    /** Number of events within the window that ends at [now]. */
    fun sum(now: Duration): Int {
        advance(now)
        return total
    }

    private fun advance(now: Duration) {
        val bucket = (now / bucketWidth).toLong()
        if (bucket <= currentBucket) return
        val steps = minOf(bucket - currentBucket, BUCKETS.toLong()).toInt()
        for (i in 1..steps) {
            val index = indexOf(bucket - steps + i)
            total -= counts[index]
            counts[index] = 0
        }
        currentBucket = bucket
    }

    private fun indexOf(bucket: Long) = (bucket % BUCKETS).toInt()

    companion object {
        /** Number of buckets in a window. */
        const val BUCKETS: Int = 40
    }
}
