package io.poplarwood.decision.limits

/** Divides an upstream's connections among the entries that use it. */
object ConnectionShare {
    /**
     * Connections that each of [entries] entries may open to an upstream that accepts [limit]; at least one. The share
     * [reserve], 0..1, stays free for the old and new runs of restarting entries.
     */
    fun of(limit: Int, entries: Int, reserve: Double): Int =
        (limit * (1.0 - reserve) / entries.coerceAtLeast(1)).toInt().coerceAtLeast(1)
}
