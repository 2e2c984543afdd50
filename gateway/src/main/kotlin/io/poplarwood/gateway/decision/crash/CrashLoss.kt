package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration

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
) {
    val ended: Boolean get() = fate == UpstreamFate.ENDED

    /** Whether this loss counts until it is known what became of the upstream. */
    val counts: Boolean get() = fate != UpstreamFate.PRESUMED_RUNNING
}
