package io.poplarwood.gateway.runtime

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.decision.HedgingPolicy
import io.poplarwood.gateway.decision.OutcomeRecorder
import io.poplarwood.gateway.decision.Placement
import io.poplarwood.gateway.decision.RetryBudget
import io.poplarwood.gateway.decision.ServiceTimeEstimates
import io.poplarwood.gateway.decision.SlotQueue
import io.poplarwood.gateway.decision.SlotRequest
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.limit.UpstreamPermits
import io.poplarwood.gateway.route.SplitPicker
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * The state behind the routing decisions of one entry, which all use the same upstream table.
 *
 * @param onQueued called when requests are queued, so that waits that exceed their limit end even if no slot is freed
 */
internal class Decisions(
    val upstreams: UpstreamTable,
    val placement: Placement,
    val retryBudget: RetryBudget,
    val splitPicker: SplitPicker,
    val permits: UpstreamPermits,
    val crashSuspects: CrashSuspects,
    private val onQueued: () -> Unit,
) {
    val suspicion = OutcomeRecorder()
    val workTimes = ServiceTimeEstimates()
    val secondAttempt = HedgingPolicy(placement)
    private val queues = HashMap<ServiceName, SlotQueue>()

    fun queue(service: ServiceName): SlotQueue = queues.getOrPut(service) { SlotQueue(placement, upstreams, permits) }

    /** Decides on [request] at once, or queues it until a slot becomes free. */
    fun place(request: SlotRequest, now: Duration) {
        queue(request.service).offer(request, now)
        if (hasQueued) onQueued()
    }

    /** Number of requests that are queued for a slot. */
    val queuedCount: Int get() = queues.values.sumOf { it.size }

    /** Whether any request is queued for a slot. */
    val hasQueued: Boolean get() = queues.values.any { it.size > 0 }

    /** Refuses all queued requests. */
    fun refuseQueued() = queues.values.forEach { it.refuseAll() }

    /** Assigns free slots to queued requests and ends the waits that exceed their limit. */
    fun dispatchQueued(now: Duration) {
        for (queue in queues.values) if (queue.size > 0) queue.dispatch(now)
    }

    /**
     * Time until an upstream of [service] may be given work; null if one may be now, or if no such time is known.
     */
    fun timeUntilAvailable(service: ServiceName, now: Duration): Duration? {
        val earliestUsableAt = placement.earliestUsableAt(upstreams.of(service), emptySet(), now)
        return earliestUsableAt?.takeIf { it > now }?.let { it - now }
    }
}
