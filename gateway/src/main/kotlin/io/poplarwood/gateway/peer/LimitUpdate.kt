package io.poplarwood.gateway.peer

import io.poplarwood.gateway.upstream.LimitObservation
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Rate limit of one incarnation of an upstream as one entry knows it. Ages are relative to the time of sending, since
 * entries share no clock.
 *
 * @property born start of the incarnation in milliseconds since the epoch
 * @property perSecond requests per second that the upstream accepts from all entries together; null when it no longer
 * names a limit
 * @property sentAgeMs time since the request was sent whose answer named the limit
 * @property receivedAgeMs time since that answer was received
 * @property recentSends requests that the sender sent to the upstream lately
 */
@Serializable
internal data class LimitUpdate(
    @SerialName("b") val born: Long,
    @SerialName("r") val perSecond: Double?,
    @SerialName("s") val sentAgeMs: Long,
    @SerialName("a") val receivedAgeMs: Long,
    @SerialName("n") val recentSends: Int,
) {
    /**
     * The observation in terms of the receiver's clock. The transit makes it seem younger than it is. That is safe for
     * a limit, but not for its end, so the start of such an observation is moved back.
     */
    fun toObservation(now: Duration): LimitObservation {
        val sentAt = now - sentAgeMs.milliseconds
        val earliestSentAt = if (perSecond == null) sentAt - MAX_TRANSIT else sentAt
        return LimitObservation(perSecond, earliestSentAt, now - receivedAgeMs.milliseconds)
    }

    companion object {
        private val MAX_TRANSIT = 50.milliseconds

        /** What this entry knows of the limit of [row]; null when no answer has named one. */
        fun of(row: UpstreamRow, now: Duration): LimitUpdate? = row.limit.current?.let {
            LimitUpdate(
                row.record.startMs,
                it.perSecond,
                (now - it.sentAt).inWholeMilliseconds,
                (now - it.receivedAt).inWholeMilliseconds,
                row.recentSends.own(now),
            )
        }
    }
}
