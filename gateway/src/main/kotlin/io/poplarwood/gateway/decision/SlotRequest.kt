package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName
import kotlin.time.Duration

/**
 * A request that wants an upstream.
 *
 * @property aim when its answer loses most of its worth
 * @property deadline when its answer is worth nothing
 * @property exclude upstreams that had it already
 * @property onDecision told the upstream, or why there is none
 */
internal class SlotRequest(
    val service: ServiceName,
    val priority: Int,
    val arrived: Duration,
    val job: Job,
    val aim: Duration,
    val deadline: Duration,
    val exclude: Set<String>,
    val onDecision: (SlotDecision) -> Unit,
) {
    var cancelled: Boolean = false

    /** Whether a quick upstream could still answer it before its aim. */
    fun canMeetTarget(now: Duration): Boolean = now + job.work <= aim

    /** Whether it has waited so long that its caller is better told to come back. */
    fun hasWaitedTooLong(now: Duration): Boolean =
        now + job.work > deadline || now > arrived + (deadline - arrived) * MAX_WAIT_SHARE

    private companion object {
        /** Share of the time until its deadline for which a request that missed its aim may wait. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
