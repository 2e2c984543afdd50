package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.routing.AttemptObservation
import io.poplarwood.decision.routing.LeaseMessage
import io.poplarwood.decision.routing.Reservation
import io.poplarwood.decision.routing.RouteRequest
import io.poplarwood.decision.routing.Router
import io.poplarwood.decision.routing.SlotId
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamState
import io.poplarwood.decision.routing.UpstreamView
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration

/** Grants a slot at the least loaded of a fixed set of upstreams, except those that the request has tried. */
internal class FakeRouter(upstreams: Int, private val slotsEach: Int) : Router {
    var ids = List(upstreams) { UpstreamId("10.0.0.$it:80", "a") }
    val requests = ArrayList<RouteRequest>()
    private val inFlight = HashMap<UpstreamId, Int>()
    private val slots = HashMap<SlotId, UpstreamId>()
    private var next = 0L

    override fun reserve(request: RouteRequest): Reservation {
        requests += request
        if (ids.isEmpty()) return Reservation.NoUpstream
        val maxLoad = if (request.alone) 0 else slotsEach - 1
        val chosen = ids.filter { it !in request.tried && load(it) <= maxLoad }.minByOrNull(::load)
            ?: return Reservation.Overloaded
        inFlight[chosen] = load(chosen) + 1
        val slot = SlotId(next++)
        slots[slot] = chosen
        return Reservation.Granted(slot, chosen, ids.size)
    }

    override fun release(slot: SlotId, evidence: AttemptObservation) {
        val id = checkNotNull(slots.remove(slot)) { "slot released twice" }
        inFlight[id] = load(id) - 1
    }

    override fun updateBacklog(waiting: IntArray) = Unit

    override fun receive(from: EntryRef, message: LeaseMessage) = Unit

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) = Unit

    override fun updateEntries(list: ImmutableList<EntryRef>) = Unit

    override fun tick() = Unit

    override fun snapshot(): ImmutableList<UpstreamRow> =
        ids.map { UpstreamRow(it, UpstreamState.LIVE, load(it), slotsEach, Duration.ZERO) }.toImmutableList()

    private fun load(id: UpstreamId) = inFlight[id] ?: 0
}
