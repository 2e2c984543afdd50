package io.poplarwood.bench.flood

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

/** Knows the load and the waiting calls of all entries. Shows what admission does when routing is perfect. */
class PooledRouter(private val pool: PooledSlots, wake: () -> Unit) : Router {
    private val member = pool.join(wake)
    private val own = HashMap<UpstreamId, Int>()

    override fun reserve(request: RouteRequest): Reservation {
        val (slot, id) = pool.take(member, request.rank, request.tried) ?: return Reservation.Overloaded
        own[id] = (own[id] ?: 0) + 1
        return Reservation.Granted(slot, id, pool.views.size)
    }

    override fun release(slot: SlotId, evidence: AttemptObservation) {
        val id = pool.free(slot)
        own[id] = own.getValue(id) - 1
    }

    override fun updateBacklog(waiting: IntArray) = pool.updateBacklog(member, waiting)

    override fun receive(from: EntryRef, message: LeaseMessage) = Unit

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) = Unit

    override fun updateEntries(list: ImmutableList<EntryRef>) = Unit

    override fun tick() = Unit

    override fun snapshot(): ImmutableList<UpstreamRow> = pool.views.map {
        val mine = own[it.id] ?: 0
        UpstreamRow(it.id, UpstreamState.LIVE, mine, mine + it.slots - pool.load(it.id), Duration.ZERO)
    }.toImmutableList()
}
