package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef

/** What the entry that issues the leases of one upstream knows about their holders. Times are in microseconds. */
internal class IssuedLeases(val row: Int, var graceUntil: Long) {
    /** Leases of one other entry, as it last reported at [renewedAt]. */
    class Holder(var count: Int, var renewedAt: Long, var sheds: Int, var latencyMicros: Int)

    val holders = HashMap<EntryRef, Holder>()
    private var windowEnd = 0L
    private var minSurplus = Int.MAX_VALUE
    private var maxSurplus = Int.MIN_VALUE

    /** Number of leases that other entries hold. */
    fun heldByOthers(): Int = holders.values.sumOf { it.count }

    /** Records a renewal by [from]; a null or empty [holding] means that it holds no leases. */
    fun recordRenewal(from: EntryRef, holding: LeaseMessage.Holding?, now: Long) {
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

    /**
     * Removes holders that did not renew within [lifetime] or are not [live], and returns the number of their leases.
     */
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
     * Records the present [surplus] of leases over the target; a negative one is a deficit.
     *
     * @return at the end of each window of [windowLength], the part of the surplus that lasted throughout the window,
     *   which leases in transit between entries cannot explain; otherwise 0
     */
    fun recordSurplus(surplus: Int, now: Long, windowLength: Long): Int {
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
