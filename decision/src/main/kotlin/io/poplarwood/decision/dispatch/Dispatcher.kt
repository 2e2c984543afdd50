package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList

/**
 * Makes all decisions about the calls of one service at one entry: admission, order, upstream and retries.
 *
 * Its functions are called by one thread at a time and never block. Decisions leave as [Command]s through the function
 * given to the implementation's constructor, possibly before the method that caused them returns.
 */
interface Dispatcher {
    /**
     * Accepts a new call for a decision. Exactly one [Command.Refuse] or [Command.Complete] follows, unless the call is
     * cancelled.
     */
    fun offer(call: Call)

    /** Reports how the attempt of a [Command.Dispatch] ended. */
    fun attemptEnded(call: CallId, attempt: Int, evidence: AttemptObservation)

    /**
     * Cancels a call whose caller has disconnected. The runtime still reports the end of a running attempt by
     * [finished].
     */
    fun cancel(call: CallId)

    /** Handles a message of the peer [from]. */
    fun receive(from: EntryRef, message: LeaseMessage)

    /** Applies [document] as the configuration of the service. */
    fun configure(document: ServiceDocument)

    /** Replaces the list of upstreams. */
    fun updateUpstreams(list: ImmutableList<UpstreamView>)

    /** Replaces the list of live entries, this one included. */
    fun updateEntries(list: ImmutableList<EntryRef>)

    /** Runs periodic work; called every 10 ms. */
    fun tick()
}
