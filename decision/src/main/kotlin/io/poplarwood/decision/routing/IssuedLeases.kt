package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef

/** What the home entry of one upstream knows about its leases. Times are microseconds. */
internal class IssuedLeases(val row: Int, var graceUntil: Long) {
    /** What one other entry holds, as it told at [renewedAt]. */
    class Holder(var count: Int, var renewedAt: Long, var busy: Int, var latencyMicros: Int)

    val holders = HashMap<EntryRef, Holder>()
    private var windowEnd = 0L
    private var least = Int.MAX_VALUE
    private var most = Int.MIN_VALUE

    /** Leases that other entries hold. */
    fun elsewhere(): Int = holders.values.sumOf { it.count }

    /** Takes in a renewal of [from]. */
    fun renewed(from: EntryRef, holding: SlotMessage.Holding?, now: Long) {
        if (holding == null || holding.count == 0) {
            holders.remove(from)
            return
        }
        val holder = holders.getOrPut(from) { Holder(0, now, 0, 0) }
        holder.count = holding.count
        holder.renewedAt = now
        holder.busy += holding.busy
        holder.latencyMicros = holding.latencyMicros
    }

    /** Removes holders that did not renew within [life] or are not [live]; gives the leases that they had. */
    fun lapse(now: Long, life: Long, live: (EntryRef) -> Boolean): Int {
        var lapsed = 0
        holders.entries.removeIf { (ref, holder) ->
            val gone = now - holder.renewedAt >= life || !live(ref)
            if (gone) lapsed += holder.count
            gone
        }
        return lapsed
    }

    /**
     * Takes in the present [surplus] of leases over the target, negative for a lack. At the end of each window of
     * [length] gives the part of it that lasted all through, which moves between entries do not explain; else 0.
     */
    fun lasting(surplus: Int, now: Long, length: Long): Int {
        least = minOf(least, surplus)
        most = maxOf(most, surplus)
        if (now < windowEnd) return 0
        val result = if (windowEnd == 0L) {
            0
        } else if (least > 0) {
            least
        } else {
            minOf(most, 0)
        }
        windowEnd = now + length
        least = Int.MAX_VALUE
        most = Int.MIN_VALUE
        return result
    }
}
