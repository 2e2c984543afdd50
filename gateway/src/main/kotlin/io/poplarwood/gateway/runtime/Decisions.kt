package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.RepeatBudget
import io.poplarwood.gateway.decision.SecondAttempt
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.Suspicion
import io.poplarwood.gateway.decision.WorkTimes
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * The decisions of one entry, which share its upstreams.
 *
 * @param queued called when requests wait, so that their waits are ended in time
 */
internal class Decisions(
    val upstreams: UpstreamTable,
    val placement: Placement,
    val budget: RepeatBudget,
    val splits: SplitPicker,
    private val queued: () -> Unit,
) {
    val suspicion = Suspicion()
    val crashes = CrashSuspects()
    val work = WorkTimes()
    val second = SecondAttempt(placement)
    private val queues = HashMap<ServiceName, SlotQueue>()

    /** The queue of [service]. */
    fun queue(service: ServiceName): SlotQueue = queues.getOrPut(service) { SlotQueue(placement, upstreams) }

    /** Decides about [request] now or when a slot becomes free. */
    fun place(request: SlotRequest, now: Duration) {
        queue(request.service).offer(request, now)
        if (waiting) queued()
    }

    /** Whether a request waits for a slot. */
    val waiting: Boolean get() = queues.values.any { it.size > 0 }

    /** Refuses all requests that wait. */
    fun refuseWaiting() = queues.values.forEach { it.refuseAll() }

    /** Gives waiting requests what has become free. */
    fun pump(now: Duration) {
        for (queue in queues.values) if (queue.size > 0) queue.pump(now)
    }
}
