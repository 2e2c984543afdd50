package io.poplarwood.bench.deep

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.SlotId
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** A router whose one upstream always has a free slot, so that only retries decide what is measured. */
internal class FreeRouter : Router {
    private var next = 0L

    override fun reserve(request: RouteRequest): Reservation =
        Reservation.Granted(SlotId(next++), UPSTREAM, considered = 1)

    override fun release(slot: SlotId, evidence: AttemptObservation) = Unit

    override fun updateBacklog(waiting: IntArray) = Unit

    override fun receive(from: EntryRef, message: LeaseMessage) = Unit

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) = Unit

    override fun updateEntries(list: ImmutableList<EntryRef>) = Unit

    override fun tick() = Unit

    override fun snapshot(): ImmutableList<UpstreamRow> = persistentListOf()

    private companion object {
        val UPSTREAM = UpstreamId("127.0.0.1:1", "free")
    }
}
