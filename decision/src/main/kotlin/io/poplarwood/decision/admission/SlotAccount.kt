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
 * Accounts for the slots of one service at one entry, in slot time rather than requests, because uploads hold slots for
 * a long time.
 *
 * @param rounding number in 0..1 that decides how a fraction of a reserved slot is rounded. It differs between entries,
 *   so that the reserve of all entries together is the intended share of all slots.
 */
internal class SlotAccount(private val settings: DispatcherSettings, private val rounding: Double) {
    private var slotLimit = 0
    private var freeSlots = 0

    /** Upstreams that may get new work. */
    var usableUpstreams = 0
        private set
    private var advancedAt: Duration? = null

    /** Slots that all classes hold together. */
    var inUse = 0
        private set

    /** Slots that this entry may use. */
    val slots: Int get() = max(slotLimit, inUse)

    /** Updates the slots from the router's table. */
    fun update(rows: List<UpstreamRow>) {
        slotLimit = 0
        freeSlots = 0
        usableUpstreams = 0
        for (row in rows) {
            if (row.state == UpstreamState.LEAVING) continue
            slotLimit += row.limit
            // Counted per upstream, since an attempt without a lease at one upstream leaves the lease of another free.
            freeSlots += max(0, row.limit - row.inFlight)
            usableUpstreams++
        }
    }

    /** Credits each class with its guaranteed share of the slot time in use since the last call. */
    fun advance(queues: Collection<ClassQueue>, now: Duration) {
        val elapsed = now - (advancedAt ?: now)
        advancedAt = now
        val seconds = elapsed.toDouble(DurationUnit.SECONDS)
        val weight = 1 - exp(-seconds / LOAD_WINDOW_SECONDS)
        for (queue in queues) {
            queue.smoothedInUse += weight * (queue.inUse - queue.smoothedInUse)
            queue.recentRefusals -= weight * queue.recentRefusals
            queue.dispatchRate.advance(elapsed)
            // Credit accrues for at least one slot; otherwise the classes of an entry that holds no slot would never
            // take precedence over other entries' ranks.
            queue.credit =
                boundedCredit(queue, queue.credit + (queue.spec.target.keepShare ?: 0.0) * max(inUse, 1) * seconds)
        }
    }

    /**
     * Charges the expected slot time of [pending] at its dispatch, so that a class cannot exceed its credit in one
     * round.
     */
    fun recordDispatch(pending: PendingCall, now: Duration) {
        val queue = pending.queue
        pending.dispatchedAt = now
        pending.chargedSeconds = queue.serviceTime.mean
        queue.credit = boundedCredit(queue, queue.credit - pending.chargedSeconds)
        queue.inUse++
        freeSlots--
        queue.dispatchRate.recordDispatch()
        inUse++
    }

    /** Replaces the expected slot time of [pending] by the actual one. */
    fun recordEnd(pending: PendingCall, now: Duration) {
        val queue = pending.queue
        val heldSeconds = (now - pending.dispatchedAt).toDouble(DurationUnit.SECONDS)
        queue.credit = boundedCredit(queue, queue.credit + pending.chargedSeconds - heldSeconds)
        queue.inUse--
        inUse--
        freeSlots++
    }

    /** Whether a class of [rank] must leave the free slots to urgent work. */
    fun reservedFor(rank: Rank): Boolean {
        if (rank == Rank.URGENT || slotLimit == 0) return false
        val reserve = floor(settings.urgentReserve * slots + rounding).toInt()
        return reserve > 0 && freeSlots <= reserve
    }

    /**
     * Calls of [queue] that another slot would help, as the router weighs them against those of other entries.
     *
     * Early refusal keeps queues in proportion to an entry's slots, so queues alone would not show that an entry with
     * few slots refuses more. Without the refused calls, leases gather at some entries during a flood, and classes miss
     * their shares at the others.
     */
    fun demand(queue: ClassQueue): Int {
        if (queue.calls.isEmpty() || atSlotLimit(queue)) return 0
        return queue.calls.size + (queue.recentRefusals * settings.refusedWeight / max(1, slots)).toInt()
    }

    /** Whether [queue] holds as many slots as its class may. */
    fun atSlotLimit(queue: ClassQueue): Boolean {
        val share = queue.spec.maxSlotShare
        if (share >= 1.0 || slotLimit == 0) return false
        return queue.inUse >= max(1, floor(share * slots).toInt())
    }

    /**
     * Bounds [credit], so that a class neither saves up for a burst nor pays for long for slots that no other class
     * wanted.
     */
    private fun boundedCredit(queue: ClassQueue, credit: Double): Double {
        val window = settings.shareWindow.toDouble(DurationUnit.SECONDS)
        val share = queue.spec.target.keepShare ?: 0.0
        val maxDebt = max(queue.serviceTime.mean, share * slots * window)
        val maxCredit =
            if (queue.calls.isEmpty()) queue.serviceTime.mean * IDLE_CREDIT_SHARE else share * slots * window
        return credit.coerceIn(-maxDebt, max(maxCredit, queue.serviceTime.mean * IDLE_CREDIT_SHARE))
    }

    private companion object {
        const val LOAD_WINDOW_SECONDS = 0.2

        /** Share of one call's slot time that an idle class may have as credit. */
        const val IDLE_CREDIT_SHARE = 0.5
    }
}
