package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.Rank
import kotlinx.collections.immutable.ImmutableList

/**
 * Chooses upstreams for one service at one entry. Its functions are called by one thread at a time and never block.
 *
 * Messages to peers leave through a function passed to the implementation's constructor.
 */
interface Router {
    /** Reserves a slot for one attempt, or returns why there is none now. */
    fun reserve(request: RouteRequest): Reservation

    /** Ends an attempt that [reserve] started and records what it showed about the upstream. */
    fun release(slot: SlotId, evidence: AttemptObservation)

    /** Reports how many calls of each rank wait for a slot, indexed by [Rank.ordinal]. */
    fun updateBacklog(waiting: IntArray)

    /** Handles a message of the peer [from]. */
    fun receive(from: EntryRef, message: LeaseMessage)

    /** Replaces the list of upstreams that may be used. */
    fun updateUpstreams(list: ImmutableList<UpstreamView>)

    /** Replaces the list of live entries, this one included. */
    fun updateEntries(list: ImmutableList<EntryRef>)

    /** Runs periodic work; called every 10 ms. */
    fun tick()

    /** Stops or resumes ejection and the movement of leases between entries, at an operator's request. */
    fun pauseAutomation(paused: Boolean) = Unit

    /** What is known about each upstream, for `status` and `explain`. */
    fun snapshot(): ImmutableList<UpstreamRow>
}
