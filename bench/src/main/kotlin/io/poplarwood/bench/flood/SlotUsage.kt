package io.poplarwood.bench.flood

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Slot time that one class uses between [from] and [to], network included. */
class SlotUsage(private val from: Duration, private val to: Duration) {
    private var held = 0

    /** Slot time of all attempts, in seconds. */
    var heldSeconds: Double = 0.0
        private set

    /** Slot time of the attempts that were answered before the deadline, in seconds. */
    var usefulSeconds: Double = 0.0
        private set

    /** Most slots held at once. */
    var mostHeld: Int = 0
        private set

    /** Notes an attempt that begins at [now]. */
    fun begin(now: Duration) {
        held++
        if (now in from..to) mostHeld = maxOf(mostHeld, held)
    }

    /** Notes the end at [now] of an attempt that began at [began]. */
    fun end(began: Duration, now: Duration, useful: Boolean) {
        held--
        val within = (minOf(now, to) - maxOf(began, from)).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        heldSeconds += within
        if (useful) usefulSeconds += within
    }
}
