package io.poplarwood.gateway.upstream

import kotlin.time.Duration

/**
 * What upstreams whose rows were removed had asked for. Their registrations may have lapsed although they run, so their
 * limits and pauses hold when they are registered again.
 */
internal class RemovedUpstreams {
    private class Demands(val address: String, val limit: UpstreamLimit, val pausedUntil: Duration)

    private val demands = LinkedHashMap<IncarnationId, Demands>()

    /** Keeps what the upstream of the removed [row] asked for. */
    fun add(row: UpstreamRow) {
        val pausedUntil = row.availability.deferredUntil
        if (row.limit.perSecond == null && pausedUntil == -Duration.INFINITE) return
        demands[row.incarnation] = Demands(row.record.address, row.limit, pausedUntil)
        if (demands.size > MAX_UPSTREAMS) demands.remove(demands.keys.first())
    }

    /** Applies to the new [row] what its incarnation asked for before; a pause only holds for the same address. */
    fun restore(row: UpstreamRow, now: Duration) {
        val known = demands.remove(row.incarnation) ?: return
        row.limit = known.limit
        if (known.address != row.record.address || known.pausedUntil <= now) return
        row.availability.apply(AvailabilityInput.PauseRequested(known.pausedUntil - now), now)
    }

    private companion object {
        const val MAX_UPSTREAMS = 2_000
    }
}
