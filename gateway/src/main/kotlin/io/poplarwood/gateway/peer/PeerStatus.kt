package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Another entry as this one knows it. Times are readings of this entry's ticker. */
internal class PeerStatus(val name: String, var record: PeerRecord) {
    /** Newest hello; null until one came. */
    var hello: PeerMessage.Hello? = null
    var lastSeenAt: Duration = -Duration.INFINITE
    var silent = true

    /** When it last told that it takes requests. */
    var lastRequestsAt: Duration = -Duration.INFINITE

    /** Whether callers can be sent there. */
    val serving: Boolean get() = !silent && hello?.let { it.serving && !it.stopping } ?: false

    /** Whether it takes callers of its zone, or still has requests of them. */
    val active: Boolean get() = !silent && hello?.let { it.active || it.requestsPerS > 0 } ?: false

    /** Time without a word after which it counts as silent: several hellos may be lost in a row on a bad path. */
    val silenceTimeout: Duration get() = (hello?.everyMs?.milliseconds ?: INITIAL_INTERVAL) * MISSED_INTERVALS

    /** How the choice of active entries sees it. */
    fun toCandidate(): ActiveCandidate {
        val warm = (hello?.upMs ?: 0).milliseconds >= WARM_UP_TIME
        return ActiveCandidate(name, record.callers, warm, record.capacity, hello?.requestsPerS ?: 0)
    }

    companion object {
        /** An entry that has run for this long has its code compiled and knows the upstreams. */
        val WARM_UP_TIME = 5.seconds
        private val INITIAL_INTERVAL = 400.milliseconds
        private const val MISSED_INTERVALS = 3.25
    }
}
