package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef

/** What the home entry of one upstream knows about its leases. Times are microseconds. */
internal class IssuedLeases(val row: Int, var graceUntil: Long) {
    /** What one other entry holds, as it told at [renewedAt]. */
    class Holder(var count: Int, var renewedAt: Long, var sheds: Int, var latencyMicros: Int)

    val holders = HashMap<EntryRef, Holder>()
    private var windowEnd = 0L
    private var minSurplus = Int.MAX_VALUE
    private var maxSurplus = Int.MIN_VALUE

    /** Leases that other entries hold. */
    fun heldByOthers(): Int = holders.values.sumOf { it.count }

    /** Takes in a renewal of [from]. */
    fun recordRenewal(from: EntryRef, holding: SlotMessage.Holding?, now: Long) {
        if (holding == null || holding.count == 0) {
            holders.remove(from)
            return
        }
        val holder = holders.getOrPut(from) { Holder(0, now, 0, 0) }
        holder.count = holding.count
        holder.renewedAt = now
        holder.sheds += holding.busy
        holder.latencyMicros = holding.latencyMicros
    }

    /** Removes holders that did not renew within [lifetime] or are not [live]; gives the leases that they had. */
    fun removeExpired(now: Long, lifetime: Long, live: (EntryRef) -> Boolean): Int {
        var expiredLeases = 0
        holders.entries.removeIf { (ref, holder) ->
            val expired = now - holder.renewedAt >= lifetime || !live(ref)
            if (expired) expiredLeases += holder.count
            expired
        }
        return expiredLeases
    }

    /**
     * Takes in the present [surplus] of leases over the target, negative for a lack. At the end of each window of
     * [windowLength] gives the part of it that lasted all through, which moves between entries do not explain; else 0.
     */
    fun persistentSurplus(surplus: Int, now: Long, windowLength: Long): Int {
        minSurplus = minOf(minSurplus, surplus)
        maxSurplus = maxOf(maxSurplus, surplus)
        if (now < windowEnd) return 0
        val result = if (windowEnd == 0L) {
            0
        } else if (minSurplus > 0) {
            minSurplus
        } else {
            minOf(maxSurplus, 0)
        }
        windowEnd = now + windowLength
        minSurplus = Int.MAX_VALUE
        maxSurplus = Int.MIN_VALUE
        return result
    }
}
