package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.decision.routing.SlotMessage

/** What a dispatcher asks its runtime to do. */
sealed interface Command {
    /** Send the call to [upstream]; [attempt] counts from 1, [retry] says why it is not the first. */
    data class Dispatch(
        val call: CallId,
        val attempt: Int,
        val upstream: UpstreamId,
        val retry: RetryReason? = null,
    ) : Command

    /** Give the caller the final answer [refusal]. */
    data class Refuse(val call: CallId, val refusal: Refusal) : Command

    /** The call ended with the upstream's own answer; the runtime forgets it. */
    data class Complete(val call: CallId) : Command

    /** Send [message] to the peer [to]. */
    data class Send(val to: EntryRef, val message: SlotMessage) : Command

    /** Probe [upstream] on a fresh connection. */
    data class Probe(val upstream: UpstreamId) : Command

    /** Tell peers that [fingerprint] was running when [upstream] was lost. */
    data class ReportCrash(val fingerprint: Long, val upstream: UpstreamId) : Command
}
