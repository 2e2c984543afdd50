package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/** Outcome of a [SlotRequest]. */
internal sealed interface SlotDecision {
    /** The request goes to [row], whose in-flight count already includes it. */
    data class Granted(val row: UpstreamRow) : SlotDecision

    /** No upstream can serve the request in time; a caller should retry after [retryAfter]. */
    data class Overloaded(val retryAfter: Duration) : SlotDecision

    /** All usable upstreams name a rate limit that is used up; a permit is expected after [retryAfter]. */
    data class RateLimited(val retryAfter: Duration) : SlotDecision

    /** No upstream of the service is usable; [retryAfter] is when one should be, null when that is unknown. */
    data class NoUpstream(val retryAfter: Duration?) : SlotDecision
}
