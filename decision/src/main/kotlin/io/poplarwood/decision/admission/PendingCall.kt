package io.poplarwood.decision.admission

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.decision.dispatch.Call
import io.poplarwood.decision.explain.ExplainRecord
import io.poplarwood.decision.retry.AttemptHistory
import io.poplarwood.decision.routing.SlotId
import kotlin.time.Duration

/**
 * State of one call at its dispatcher, from arrival to the final response.
 *
 * @property queuedAt reading of the ticker when the call last began to wait
 * @property dispatchedAt reading of the ticker at the latest dispatch
 * @property chargedSeconds slot time in seconds that was charged to the class at dispatch
 * @property readyAt earliest reading of the ticker for the next attempt
 */
internal class PendingCall(val call: Call, val queue: ClassQueue, var record: ExplainRecord) {
    val history = AttemptHistory()
    val tried = ArrayList<UpstreamId>(0)
    var queuedAt: Duration = call.arrived
    var dispatchedAt: Duration = Duration.ZERO
    var readyAt: Duration = Duration.ZERO
    var chargedSeconds = 0.0
    var retry: RetryReason? = null
    var slot: SlotId? = null
    var cancelled = false
    var alone = false
    var heldForCrash = false

    val running: Boolean get() = slot != null
}
