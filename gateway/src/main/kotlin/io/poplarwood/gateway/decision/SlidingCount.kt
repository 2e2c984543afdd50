package io.poplarwood.gateway.decision

import kotlin.time.Duration

/** Counts events over the last [window], in buckets of a fortieth of it. */
internal class SlidingCount(window: Duration) {
    private val span = window / BUCKETS
    private val counts = IntArray(BUCKETS)
    private var head = 0L
    private var total = 0

    /** Adds an event at [now]. */
    fun add(now: Duration) {
        advance(now)
        counts[slot(head)]++
        total++
    }

    /** Events within the window that ends at [now]. */
    fun sum(now: Duration): Int {
        advance(now)
        return total
    }

    private fun advance(now: Duration) {
        val at = (now / span).toLong()
        if (at <= head) return
        val steps = minOf(at - head, BUCKETS.toLong()).toInt()
        for (i in 1..steps) {
            val slot = slot(at - steps + i)
            total -= counts[slot]
            counts[slot] = 0
        }
        head = at
    }

    private fun slot(index: Long) = (index % BUCKETS).toInt()

    companion object {
        /** Buckets of a window. */
        const val BUCKETS: Int = 40
    }
}
