package io.poplarwood.gateway.counter

import kotlin.time.Duration

/** Counts events over a sliding [window], with a resolution of one of [buckets] equal parts of the window. */
internal class SlidingWindowCounter(window: Duration, private val buckets: Int = BUCKETS) {
    private val bucketWidth = window / buckets
    private val counts = IntArray(buckets)
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
        val steps = minOf(bucket - currentBucket, buckets.toLong()).toInt()
        for (i in 1..steps) {
            val index = indexOf(bucket - steps + i)
            total -= counts[index]
            counts[index] = 0
        }
        currentBucket = bucket
    }

    private fun indexOf(bucket: Long) = (bucket % buckets).toInt()

    companion object {
        /** Usual number of buckets in a window. */
        const val BUCKETS: Int = 40
    }
}
