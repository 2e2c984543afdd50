package io.poplarwood.decision.admission

import io.poplarwood.api.work.Rank
import io.poplarwood.decision.dispatch.DispatcherSettings
import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.decision.routing.UpstreamState
import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Keeps account of the slots of one service at one entry, in slot time rather than requests, because uploads hold
 * slots for long.
 *
 * @param rounding number in 0..1 that decides how a fraction of a reserved slot is rounded; differs between entries, so
 *   that the reserve of all entries together is the intended part of all slots
 */
internal class SlotAccount(private val settings: DispatcherSettings, private val rounding: Double) {
    private var limit = 0
    private var free = 0

    /** Upstreams that may get new work. */
    var upstreams = 0
        private set
    private var advancedAt: Duration? = null

    /** Slots held by all classes. */
    var inUse = 0
        private set

    /** Slots that this entry may use. */
    val slots: Int get() = max(limit, inUse)

    /** Takes in the router's view of the slots. */
    fun limits(rows: List<UpstreamRow>) {
        limit = 0
        free = 0
        upstreams = 0
        for (row in rows) {
            if (row.state == UpstreamState.LEAVING) continue
            limit += row.limit
            // By upstream, since an attempt without a lease at one upstream leaves the lease of another free.
            free += max(0, row.limit - row.inFlight)
            upstreams++
        }
    }

    /** Credits each class with its kept share of the slot time in use since the last call. */
    fun advance(queues: Collection<ClassQueue>, now: Duration) {
        val span = now - (advancedAt ?: now)
        advancedAt = now
        val seconds = span.toDouble(DurationUnit.SECONDS)
        val weight = 1 - exp(-seconds / LOAD_WINDOW_SECONDS)
        for (q in queues) {
            q.load += weight * (q.inUse - q.load)
            q.refused -= weight * q.refused
            q.drain.advance(span)
            // An entry that holds no slot yet must be owed some, or its classes would never come before others' ranks.
            q.credit = bounded(q, q.credit + (q.spec.target.keepShare ?: 0.0) * max(inUse, 1) * seconds)
        }
    }

    /** Charges the expected slot time of [call] at its dispatch, so that a class cannot overdraw in one round. */
    fun dispatched(call: WaitingCall, now: Duration) {
        val q = call.queue
        call.dispatchedAt = now
        call.charged = q.serviceTime.mean
        q.credit = bounded(q, q.credit - call.charged)
        q.inUse++
        free--
        q.drain.dispatched()
        inUse++
    }

    /** Replaces the expected slot time of [call] by the measured one. */
    fun ended(call: WaitingCall, now: Duration) {
        val q = call.queue
        val held = (now - call.dispatchedAt).toDouble(DurationUnit.SECONDS)
        q.credit = bounded(q, q.credit + call.charged - held)
        q.inUse--
        inUse--
        free++
    }

    /** True when a class of [rank] must leave the free slots to urgent work. */
    fun reservedFor(rank: Rank): Boolean {
        if (rank == Rank.URGENT || limit == 0) return false
        val reserve = floor(settings.urgentReserve * slots + rounding).toInt()
        return reserve > 0 && free <= reserve
    }

    /**
     * Calls of [queue] that another slot would help, as the router weighs them against those of other entries.
     *
     * Early refusal keeps queues in proportion to an entry's slots, so that queues alone would not show that an entry
     * with few slots refuses more. Without the refused calls, leases gather at some entries during a flood, and classes
     * miss their shares at the others.
     */
    fun demand(queue: ClassQueue): Int {
        if (queue.calls.isEmpty() || atSlotBound(queue)) return 0
        return queue.calls.size + (queue.refused * settings.refusedWeight / max(1, slots)).toInt()
    }

    /** True when [queue] holds as many slots as its class may. */
    fun atSlotBound(queue: ClassQueue): Boolean {
        val share = queue.spec.maxSlotShare
        if (share >= 1.0 || limit == 0) return false
        return queue.inUse >= max(1, floor(share * slots).toInt())
    }

    /** A class neither saves up a burst nor pays for long for slots that no one else wanted. */
    private fun bounded(q: ClassQueue, credit: Double): Double {
        val window = settings.shareWindow.toDouble(DurationUnit.SECONDS)
        val share = q.spec.target.keepShare ?: 0.0
        val debt = max(q.serviceTime.mean, share * slots * window)
        val most = if (q.calls.isEmpty()) q.serviceTime.mean * LEAST_IDLE_CREDIT else share * slots * window
        return credit.coerceIn(-debt, max(most, q.serviceTime.mean * LEAST_IDLE_CREDIT))
    }

    private companion object {
        const val LOAD_WINDOW_SECONDS = 0.2

        /** Part of one call's slot time that an idle class may be owed. */
        const val LEAST_IDLE_CREDIT = 0.5
    }
}
