package io.poplarwood.gateway.decision

import io.poplarwood.gateway.upstream.UpstreamRow
import kotlin.time.Duration

/** What became of a [SlotRequest]. */
internal sealed interface SlotDecision {
    /** [row] takes it; the slot counts as used. */
    data class Granted(val row: UpstreamRow) : SlotDecision

    /** No upstream can take it in time; [retryAfter] is when one should. */
    data class Full(val retryAfter: Duration) : SlotDecision

    /** The service has no upstream to use; [retryAfter] is when one should be, null when that is not known. */
    data class NoUpstream(val retryAfter: Duration?) : SlotDecision
}
