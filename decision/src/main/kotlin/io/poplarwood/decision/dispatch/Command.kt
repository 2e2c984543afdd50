package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RetryReason
import io.poplarwood.decision.routing.LeaseMessage

/** Action that a dispatcher requests from its runtime. */
sealed interface Command {
    /** Send the call to [upstream]; [attempt] counts from 1, and [retry] says why a further attempt is made. */
    data class Dispatch(
        val call: CallId,
        val attempt: Int,
        val upstream: UpstreamId,
        val retry: RetryReason? = null,
    ) : Command

    /** Give the caller the final response [refusal]. */
    data class Refuse(val call: CallId, val refusal: Refusal) : Command

    /** The call ended with the upstream's own response, so the runtime can drop it. */
    data class Complete(val call: CallId) : Command

    /** Send [message] to the peer [to]. */
    data class Send(val to: EntryRef, val message: LeaseMessage) : Command

    /** Probe [upstream] on a new connection. */
    data class Probe(val upstream: UpstreamId) : Command

    /** Notify peers that a request with [fingerprint] was running when the connection to [upstream] was lost. */
    data class ReportCrash(val fingerprint: Long, val upstream: UpstreamId) : Command
}
