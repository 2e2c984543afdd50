package io.poplarwood.fleet.virtual

import io.poplarwood.api.time.Ticker
import java.util.PriorityQueue
import kotlin.time.Duration

/** Virtual clock and scheduler: actions run in order of their times, and at equal times in order of scheduling. */
class Timeline : Ticker {
    private class Action(val at: Duration, val order: Long, val run: () -> Unit)

    private val actions = PriorityQueue(compareBy<Action>({ it.at }, { it.order }))
    private var order = 0L
    private var time = Duration.ZERO

    override fun now(): Duration = time

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        actions += Action(time + delay, order++, action)
    }

    /** Runs all actions up to [until] and sets the time to [until]. */
    fun runTo(until: Duration) {
        while (true) {
            val next = actions.peek() ?: break
            if (next.at > until) break
            actions.poll()
            time = next.at
            next.run()
        }
        time = until
    }
}
