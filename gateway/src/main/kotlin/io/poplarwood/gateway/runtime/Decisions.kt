package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.CrashSuspects
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.RepeatBudget
import io.poplarwood.gateway.decision.SecondAttempt
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.Suspicion
import io.poplarwood.gateway.decision.WorkTimes
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/** The decisions of one entry, which share its upstreams. */
internal class Decisions(
    val upstreams: UpstreamTable,
    val placement: Placement,
    val budget: RepeatBudget,
    val splits: SplitPicker,
) {
    val suspicion = Suspicion()
    val crashes = CrashSuspects()
    val work = WorkTimes()
    val second = SecondAttempt(placement)
    private val queues = HashMap<ServiceName, SlotQueue>()

    /** The queue of [service]. */
    fun queue(service: ServiceName): SlotQueue = queues.getOrPut(service) { SlotQueue(placement, upstreams) }

    /** Whether a request waits for a slot. */
    val waiting: Boolean get() = queues.values.any { it.size > 0 }

    /** Gives waiting requests what has become free. */
    fun pump(now: Duration) {
        for (queue in queues.values) if (queue.size > 0) queue.pump(now)
    }
}
