package io.poplarwood.gateway.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Bounds the number of entries that receive a configuration change from this entry at the same time. Entries that take
 * callers are admitted before others: half of the slots are kept for them.
 *
 * @param slots number of entries served at the same time, at least 2
 */
internal class TransferSlots(private val slots: Int) {
    private val lastServed = HashMap<String, Duration>()

    /** Whether [receiver] may be served now; if so, it holds a slot until [release], or until it stops asking. */
    fun admit(receiver: String, takesCallers: Boolean, now: Duration): Boolean {
        lastServed.values.removeIf { now - it > IDLE_TIMEOUT }
        val limit = if (takesCallers) slots else maxOf(1, slots / 2)
        if (receiver !in lastServed && lastServed.size >= limit) return false
        lastServed[receiver] = now
        return true
    }

    /** Ends the transfer to [receiver]. */
    fun release(receiver: String) {
        lastServed.remove(receiver)
    }

    companion object {
        /** Longer than a receiver waits for a piece. */
        private val IDLE_TIMEOUT = 700.milliseconds
        private const val MIN_SLOTS = 2
        private const val MAX_SLOTS = 16
        private const val MBPS_PER_SLOT = 5.0

        /** Number of slots that a link of [linkMbps] megabits per second bears beside callers' requests. */
        fun forLink(linkMbps: Double): Int = (linkMbps / MBPS_PER_SLOT).toInt().coerceIn(MIN_SLOTS, MAX_SLOTS)
    }
}
