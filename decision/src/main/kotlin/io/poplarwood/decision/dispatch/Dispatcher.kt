package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.ServiceDocument
import io.poplarwood.decision.routing.AttemptEvidence
import io.poplarwood.decision.routing.SlotMessage
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList

/**
 * Decides everything about the calls of one service at one entry: admission, order, upstream, retries.
 *
 * Calls come from one thread at a time and never block. Decisions leave as [Command]s through the function given to the
 * implementation's constructor, possibly before the method that caused them returns.
 */
interface Dispatcher {
    /** Takes in a new call. Exactly one [Command.Refuse] or [Command.Complete] follows, unless it is cancelled. */
    fun offer(call: Call)

    /** Reports how the attempt of [Command.Dispatch] ended. */
    fun finished(call: CallId, attempt: Int, evidence: AttemptEvidence)

    /** Withdraws a call whose caller is gone. A running attempt still reports [finished]. */
    fun cancel(call: CallId)

    /** Takes in a message of the peer [from]. */
    fun receive(from: EntryRef, message: SlotMessage)

    /** Brings [document] into force. */
    fun configure(document: ServiceDocument)

    /** Replaces the list of upstreams. */
    fun upstreams(list: ImmutableList<UpstreamView>)

    /** Replaces the list of live entries, this one included. */
    fun entries(list: ImmutableList<EntryRef>)

    /** Runs the periodic systems; called every 10 ms. */
    fun tick()
}
