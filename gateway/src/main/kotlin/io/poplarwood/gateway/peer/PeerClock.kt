package io.poplarwood.gateway.peer

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The clock of another entry against the clock of this entry.
 *
 * The heartbeat that was read soonest after it was sent bounds the difference between the two. How long any other
 * heartbeat was under way, or waited until a busy event loop read it, then makes no difference to when it was sent.
 */
internal class PeerClock {
    private var senderStartMs: Long? = null
    private var current = Differences(-Duration.INFINITE)
    private var previous = Differences(-Duration.INFINITE)

    /** Smallest time by which this entry's clock was ahead when it read a heartbeat. */
    private val difference: Duration get() = minOf(current.smallest, previous.smallest)

    /** Records a heartbeat read at [now] that was sent at [sentMs] by the sender's clock, [upMs] after its start. */
    fun record(sentMs: Long, upMs: Long, now: Duration) {
        val startMs = sentMs - upMs
        val known = senderStartMs
        if (known == null || abs(startMs - known) > MAX_START_DIFFERENCE_MS) {
            senderStartMs = startMs
            current = Differences(now)
            previous = Differences(now)
        } else if (now - current.since > WINDOW) {
            previous = current
            current = Differences(now)
        }
        current.add(now - sentMs.milliseconds)
    }

    /**
     * Time of this entry's clock at or before which the sender's clock showed [sentMs]; null while too few heartbeats
     * were read to tell.
     */
    fun sentAt(sentMs: Long): Duration? {
        if (current.count + previous.count < MIN_HEARTBEATS) return null
        return sentMs.milliseconds + difference - MAX_TRANSIT
    }

    /** How much later than the quickest heartbeat the one sent at [sentMs] was read at [now]. */
    fun delay(sentMs: Long, now: Duration): Duration = now - sentMs.milliseconds - difference

    /** The heartbeats read since [since]. */
    private class Differences(val since: Duration) {
        var smallest: Duration = Duration.INFINITE
            private set
        var count = 0
            private set

        fun add(difference: Duration) {
            smallest = minOf(smallest, difference)
            count++
        }
    }

    private companion object {
        /** Upper bound on the transit time of the quickest heartbeat. */
        val MAX_TRANSIT = 50.milliseconds

        /** After two of these, a difference no longer counts: one of the clocks may have stopped for a while. */
        val WINDOW = 30.seconds

        /** One heartbeat alone may have been read late. */
        const val MIN_HEARTBEATS = 3

        /** Two readings of the same start differ by less. */
        const val MAX_START_DIFFERENCE_MS = 100L
    }
}
