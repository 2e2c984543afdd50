package io.poplarwood.bench.virtual

import io.poplarwood.api.time.Ticker
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Clock and queue of events in virtual time. Events due at one instant run in the order of their scheduling. */
class EventLoop : Ticker {
    private class Event(val atNanos: Long, val sequence: Long, val action: () -> Unit)

    private val queue = PriorityQueue(INITIAL_CAPACITY, compareBy<Event>({ it.atNanos }, { it.sequence }))
    private var nowNanos = 0L
    private var sequence = 0L

    override fun now(): Duration = nowNanos.nanoseconds

    /** Runs [action] after [delay]; a negative delay counts as zero. */
    fun after(delay: Duration, action: () -> Unit) {
        val at = nowNanos + delay.inWholeNanoseconds.coerceAtLeast(0)
        queue.add(Event(at, sequence++, action))
    }

    /** Runs [action] every [period] until it returns false, for the first time after [first]. */
    fun every(period: Duration, first: Duration = period, action: () -> Boolean) {
        after(first) { if (action()) every(period, period, action) }
    }

    /** Runs all events that are due up to [end], then sets the clock to [end]. */
    fun runUntil(end: Duration) {
        val endNanos = end.inWholeNanoseconds
        while (true) {
            val next = queue.peek() ?: break
            if (next.atNanos > endNanos) break
            queue.poll()
            nowNanos = next.atNanos
            next.action()
        }
        nowNanos = maxOf(nowNanos, endNanos)
    }

    private companion object {
        const val INITIAL_CAPACITY = 1024
    }
}
