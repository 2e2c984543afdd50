package io.poplarwood.decision.routing.baseline

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

/**
 * Baseline router that grants a slot at the upstream that [choice] picks whenever one is usable, and ignores the
 * results of attempts.
 */
class StrategyRouter(private val choice: SelectionStrategy) : Router, Candidates {
    private class Row(val id: UpstreamId, var view: UpstreamView, var inFlight: Int = 0)

    private val rows = HashMap<UpstreamId, Row>()
    private var usable: List<Row> = emptyList()
    private var candidates: List<Row> = emptyList()
    private val attempts = HashMap<Long, Row>()
    private var sequence = 0L

    override val count: Int get() = candidates.size

    override fun id(index: Int): UpstreamId = candidates[index].id

    override fun inFlight(index: Int): Int = candidates[index].inFlight

    override fun reserve(request: RouteRequest): Reservation {
        if (usable.isEmpty()) return Reservation.NoUpstream
        val untried = if (request.tried.isEmpty()) usable else usable.filter { it.id !in request.tried }
        candidates = untried.ifEmpty { usable }
        val row = candidates[choice.choose(this)]
        row.inFlight++
        val slot = sequence++
        attempts[slot] = row
        return Reservation.Granted(SlotId(slot), row.id, candidates.size)
    }

    override fun release(slot: SlotId, evidence: AttemptObservation) {
        attempts.remove(slot.value)?.let { it.inFlight-- }
    }

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) {
        for (view in list) rows.getOrPut(view.id) { Row(view.id, view) }.view = view
        usable = list.filter { it.state != UpstreamState.LEAVING }.map { rows.getValue(it.id) }
    }

    override fun updateBacklog(waiting: IntArray) = Unit

    override fun receive(from: EntryRef, message: LeaseMessage) = Unit

    override fun updateEntries(list: ImmutableList<EntryRef>) = Unit

    override fun tick() = Unit

    override fun snapshot(): ImmutableList<UpstreamRow> = usable
        .map { UpstreamRow(it.id, it.view.state, it.inFlight, Int.MAX_VALUE, Duration.ZERO) }
        .toImmutableList()
}
