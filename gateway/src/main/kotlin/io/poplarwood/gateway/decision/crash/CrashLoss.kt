package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An attempt of a request that has no answer, so that its upstream may have crashed while it executed the request.
 * Times are readings of this entry's ticker.
 *
 * @property id identifies this loss at all entries
 * @property upstream incarnation of the upstream
 * @property sentAt when the request was sent to [upstream]
 * @property lostAt when the attempt ended, or was found to last too long
 * @property fate what is known of [upstream]
 * @property endSeen whether [lostAt] is when the connection broke; otherwise [upstream] may have ended at any time
 * since [sentAt]
 * @property provenAt when [upstream] was last shown to have been running since before [sentAt]
 * @property runsUntil until when [upstream] may execute the request
 */
internal data class CrashLoss(
    val id: Long,
    val upstream: IncarnationId,
    val sentAt: Duration,
    val lostAt: Duration,
    val fate: UpstreamFate,
    val endSeen: Boolean = true,
    val runsUntil: Duration = lostAt,
    val provenAt: Duration = -Duration.INFINITE,
) {
    val ended: Boolean get() = fate == UpstreamFate.ENDED

    /** Whether it may still turn out that [upstream] ended under the request. */
    val open: Boolean get() = fate == UpstreamFate.UNKNOWN || fate == UpstreamFate.PRESUMED_RUNNING

    /**
     * Whether this loss counts against its request at [now]: an upstream whose fate is unknown may have ended unless it
     * was shown to be running lately.
     */
    fun counts(now: Duration): Boolean = when (fate) {
        UpstreamFate.ENDED -> true
        UpstreamFate.PRESUMED_RUNNING, UpstreamFate.SURVIVED -> false
        UpstreamFate.UNKNOWN -> now - runningAt > MAX_SILENCE
    }

    /**
     * This loss after [upstream] was shown to have been running since before [sentAt] and until [time]. Unchanged if
     * [upstream] may have ended after [time] under the request.
     */
    fun provenRunning(time: Duration): CrashLoss =
        if (time < (if (endSeen) lostAt else sentAt)) this else copy(provenAt = maxOf(provenAt, time))

    /** Until when [upstream] may be taken to have been running. */
    private val runningAt: Duration get() = if (endSeen) provenAt else maxOf(provenAt, sentAt)

    companion object {
        /**
         * An upstream that has been silent for longer may have ended, which every entry has to know `stable-s` (3 s)
         * after the end.
         */
        val MAX_SILENCE: Duration = 2.seconds
    }
}
