package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/**
 * A request for a slot at an upstream.
 *
 * @property priority 0 is the most urgent
 * @property targetTime target time, after which the answer is worth much less
 * @property deadline time after which the answer is worth nothing
 * @property relayed whether another entry sent the request on; callers of this entry come first
 * @property exclude upstreams that already received the request
 * @property onDecision receives the selected upstream, or the reason why there is none
 */
internal class SlotRequest(
    val service: ServiceName,
    val priority: Int,
    val arrivedAt: Duration,
    val job: RequestEstimate,
    val targetTime: Duration,
    val deadline: Duration,
    val exclude: Set<String>,
    val relayed: Boolean = false,
    val onDecision: (SlotDecision) -> Unit,
) {
    var cancelled: Boolean = false

    /** Whether an upstream of usual speed could still answer before the target time. */
    fun canMeetTarget(now: Duration): Boolean = now + job.serviceTime <= targetTime

    /** Whether the request has waited so long that the caller had better retry later. */
    fun hasWaitedTooLong(now: Duration): Boolean =
        now + job.serviceTime > deadline || now > arrivedAt + (deadline - arrivedAt) * MAX_WAIT_SHARE

    private companion object {
        /** Share of the time until the deadline for which a request that missed its target time may wait. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
