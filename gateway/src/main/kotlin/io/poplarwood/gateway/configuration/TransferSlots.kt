package io.poplarwood.gateway.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds the number of entries that receive a configuration change from this entry at the same time. Entries that take
 * callers are admitted before others: half of the slots are kept for them.
 *
 * @property slots number of entries served at the same time, at least 2
 * @param mbpsPerSlot bandwidth for each of them, in megabits per second
 */
internal class TransferSlots(val slots: Int, private val mbpsPerSlot: Double = MIN_MBPS_PER_SLOT) {
    private val heldUntil = HashMap<String, Duration>()

    /** Whether [receiver] may be served now; if so, it holds a slot until its transfer ends, or it stops asking. */
    fun admit(receiver: String, takesCallers: Boolean, now: Duration): Boolean {
        heldUntil.values.removeIf { it < now }
        val limit = if (takesCallers) slots else maxOf(1, slots / 2)
        if (receiver !in heldUntil && heldUntil.size >= limit) return false
        heldUntil[receiver] = now + IDLE_TIMEOUT
        return true
    }

    /** Ends the transfer to [receiver] without a further message. */
    fun release(receiver: String) {
        heldUntil.remove(receiver)
    }

    /**
     * Ends the transfer to [receiver] with a message of [bytes]. The slot is free when the message has left, since
     * otherwise the receivers of one message each would not be bounded.
     */
    fun finished(receiver: String, bytes: Int, now: Duration) {
        heldUntil[receiver] = now + (bytes * BITS / (mbpsPerSlot * BITS_PER_MEGABIT)).seconds
    }

    companion object {
        /** Longer than a receiver waits for a piece. */
        private val IDLE_TIMEOUT = 700.milliseconds
        private const val MIN_SLOTS = 2
        private const val MAX_SLOTS = 16
        private const val MIN_MBPS_PER_SLOT = 5.0
        private const val BITS = 8
        private const val BITS_PER_MEGABIT = 1_000_000

        /** The slots that a link of [linkMbps] megabits per second bears beside callers' requests. */
        fun forLink(linkMbps: Double): TransferSlots {
            val slots = (linkMbps / MIN_MBPS_PER_SLOT).toInt().coerceIn(MIN_SLOTS, MAX_SLOTS)
            return TransferSlots(slots, maxOf(linkMbps / slots, MIN_MBPS_PER_SLOT))
        }
    }
}
