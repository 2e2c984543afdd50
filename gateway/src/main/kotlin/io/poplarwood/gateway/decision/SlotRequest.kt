package io.poplarwood.gateway.decision

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/**
 * A request that wants an upstream.
 *
 * @property work time that it takes at an idle upstream of usual speed
 * @property aim when its answer loses most of its worth
 * @property deadline when its answer is worth nothing
 * @property exclude upstreams that had it already
 * @property decided told the upstream, or why there is none
 */
internal class SlotRequest(
    val service: ServiceName,
    val priority: Int,
    val arrived: Duration,
    val work: Duration,
    val aim: Duration,
    val deadline: Duration,
    val exclude: Set<String>,
    val decided: (SlotDecision) -> Unit,
) {
    var cancelled: Boolean = false

    /** When it takes a place in an upstream's own queue rather than wait for a slot. */
    val offerAt: Duration get() = minOf(arrived + (aim - arrived) * WAIT_SHARE, deadline - work)

    private companion object {
        /** Share of the time to the aim that may pass without an offer to an upstream. */
        const val WAIT_SHARE = 0.3
    }
}

/** What became of a [SlotRequest]. */
internal sealed interface SlotDecision {
    /** [row] takes it; the slot counts as used. */
    data class Granted(val row: UpstreamRow) : SlotDecision

    /** No upstream can take it in time; [retryAfter] is when one should. */
    data class Full(val retryAfter: Duration) : SlotDecision

    /** The service has no upstream to use. */
    data object NoUpstream : SlotDecision
}
