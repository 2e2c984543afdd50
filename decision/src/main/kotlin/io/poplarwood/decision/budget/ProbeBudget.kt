package io.poplarwood.decision.budget

import io.poplarwood.api.time.Ticker
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * This entry's share of the probes that all entries together may send to one service.
 *
 * The share is computed from the configured maximum of entries, so no view of the membership can make the shares add up
 * to more than the budget. It is a whole number of probes for any one-second window: fractions would add up when
 * entries happen to probe at the same moment. The remainder of the division goes to the entries with the lowest seats.
 *
 * @param maxEntries configured maximum of entries in the cell
 * @param seat number of this entry, unique within the cell and below [maxEntries]; null when entries have no numbers,
 *   which leaves the remainder unused
 */
class ProbeBudget(private val maxEntries: Int, private val seat: Int?, private val ticker: Ticker) {
    private val sent = ArrayDeque<Duration>()
    private var lastTickAt = ticker.now()

    // An earlier run of this entry may have probed until just before the start.
    private var blockedUntil = lastTickAt + WINDOW

    init {
        require(maxEntries > 0) { "maxEntries must be positive, is $maxEntries" }
        require(seat == null || seat in 0 until maxEntries) { "seat must be below $maxEntries, is $seat" }
    }

    /** Probes per second that this entry may send out of [perSecond] for all entries. */
    fun share(perSecond: Double): Int {
        val total = floor(perSecond).toInt()
        return total / maxEntries + if (seat != null && seat < total % maxEntries) 1 else 0
    }

    /** Records that the process runs. After a pause, probes that were decided before it may still leave. */
    fun tick() {
        val now = ticker.now()
        if (now - lastTickAt > PAUSE_THRESHOLD) blockedUntil = now + WINDOW
        lastTickAt = now
    }

    /** Takes one probe from the budget; returns false when the share of the last second is used up. */
    fun tryTake(perSecond: Double): Boolean {
        tick()
        val now = lastTickAt
        while (sent.isNotEmpty() && now - sent.first() >= WINDOW) sent.removeFirst()
        if (now < blockedUntil || sent.size >= share(perSecond)) return false
        sent.addLast(now)
        return true
    }

    private companion object {
        /** Ticks come every 10 ms; a gap of ten ticks counts as a pause. */
        val PAUSE_THRESHOLD = 100.milliseconds

        /**
         * A probe may leave as late as an undetected pause after its decision, and must not crowd the following second.
         */
        val WINDOW = 1.seconds + PAUSE_THRESHOLD + 10.milliseconds
    }
}
