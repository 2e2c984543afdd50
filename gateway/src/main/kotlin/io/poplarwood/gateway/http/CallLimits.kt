package io.poplarwood.gateway.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits of one of the entry's own HTTP calls.
 *
 * @property head time until the head of the reply has arrived, with the time to connect
 * @property stall time without a byte after which an incomplete reply is given up
 * @property total time until the whole reply has arrived
 */
class CallLimits(val head: Duration, val stall: Duration, val total: Duration) {
    companion object {
        /** Over a slow link bytes arrive steadily; a longer pause means that the connection is lost. */
        private val STALL_LIMIT = 400.milliseconds

        /** Enough for 2 MB at 2 Mbit/s. A peer that sends a byte now and then does not hold a call for longer. */
        private val TOTAL_LIMIT = 10.seconds

        /** Limits a call by its progress: the head within [head], then further bytes without a long pause. */
        fun progress(head: Duration): CallLimits = CallLimits(head, STALL_LIMIT, maxOf(TOTAL_LIMIT, head))
    }
}
