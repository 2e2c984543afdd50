package io.poplarwood.gateway.reach

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When an entry whose path is whole again takes callers again: after a pause that doubles each time that the path is
 * cut soon after, so that a path that comes and goes does not move callers to and fro.
 */
internal class ReturnPacing {
    private var pause = MIN_PAUSE
    private var lastWholeAt = -Duration.INFINITE

    /** When callers may be sent to this entry again. */
    var namedFrom: Duration = -Duration.INFINITE
        private set

    /** Records that the path was found cut at [now]. */
    fun cutAt(now: Duration) {
        pause = if (now - lastWholeAt < RELAPSE_TIME) minOf(pause * 2, MAX_PAUSE) else MIN_PAUSE
    }

    /** Records that the path was found whole at [now]. */
    fun wholeAt(now: Duration) {
        lastWholeAt = now
        namedFrom = now + pause
    }

    private companion object {
        val MIN_PAUSE = 1.seconds
        val MAX_PAUSE = 16.seconds

        /** A path that is cut again within this time comes and goes. */
        val RELAPSE_TIME = 30.seconds
    }
}
