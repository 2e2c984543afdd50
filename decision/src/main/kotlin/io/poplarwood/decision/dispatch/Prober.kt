package io.poplarwood.decision.dispatch

import io.poplarwood.api.id.UpstreamId
import io.poplarwood.decision.budget.ProbeBudget
import io.poplarwood.decision.budget.ProbeSelector
import io.poplarwood.decision.routing.UpstreamRow
import kotlin.time.Duration

/** Emits probes of upstreams without recent observations, within the [budget]. */
internal class Prober(
    private val budget: ProbeBudget?,
    private val selector: ProbeSelector,
    private val emit: (Command) -> Unit,
) {
    fun recordObservation(upstream: UpstreamId, now: Duration) = selector.recordObservation(upstream, now)

    fun tick(rows: List<UpstreamRow>, perSecond: Double, now: Duration) {
        if (budget == null) return
        budget.tick()
        val upstream = selector.next(rows, now) ?: return
        if (!budget.tryTake(perSecond)) return
        selector.recordObservation(upstream, now)
        emit(Command.Probe(upstream))
    }
}
