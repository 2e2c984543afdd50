package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Status of another entry as this entry observes it. Times are readings of this entry's ticker. */
internal class PeerStatus(val name: String, var record: PeerRecord) {
    /** Last heartbeat; null until one has arrived. */
    var hello: PeerMessage.Hello? = null
    var lastSeenAt: Duration = -Duration.INFINITE
    var silent = true

    /** The peer's clock against this entry's. */
    val clock = PeerClock()

    /** When the peer last reported that it receives requests. */
    var lastRequestsAt: Duration = -Duration.INFINITE

    /** Whether callers can be sent to the peer. */
    val serving: Boolean get() = !silent && hello?.let { it.serving && !it.stopping } ?: false

    /** Whether the peer cannot reach upstreams that others reach. */
    val cutOff: Boolean get() = hello?.cutOff ?: false

    /** Whether the peer takes callers of its zone, or still receives requests from them. */
    val active: Boolean get() = !silent && hello?.let { it.active || it.requestsPerS > 0 } ?: false

    /**
     * Whether the peer gets each change of load at once. For an entry that takes no callers and receives few requests,
     * the load in heartbeats is new enough, and updates would cost it more than its requests.
     */
    val needsLoadUpdates: Boolean
        get() = !silent && hello?.let { it.active || it.requestsPerS >= LOAD_UPDATES_MIN_REQUESTS_PER_S } ?: false

    /**
     * Time without a heartbeat after which the peer counts as silent. Several heartbeats in a row may be lost on a bad
     * path.
     */
    val silenceTimeout: Duration get() = (hello?.everyMs?.milliseconds ?: INITIAL_INTERVAL) * MISSED_INTERVALS

    /** Time for which a newer desired state has been arriving at the peer from the store; zero while none is. */
    fun readingTime(now: Duration): Duration {
        val atHeartbeat = hello?.readingMs ?: 0
        return if (atHeartbeat > 0) atHeartbeat.milliseconds + (now - lastSeenAt) else Duration.ZERO
    }

    fun toCandidate(): ActiveCandidate {
        val warm = (hello?.upMs ?: 0).milliseconds >= WARM_UP_TIME
        return ActiveCandidate(name, record.callers, warm, record.capacity, hello?.requestsPerS ?: 0, cutOff)
    }

    companion object {
        /** After this uptime the code of an entry is compiled and the upstreams are known. */
        val WARM_UP_TIME = 5.seconds

        /** Below this rate an entry places at most two requests between two heartbeats of the same sender. */
        private const val LOAD_UPDATES_MIN_REQUESTS_PER_S = 5
        private val INITIAL_INTERVAL = 400.milliseconds
        private const val MISSED_INTERVALS = 3.25
    }
}
