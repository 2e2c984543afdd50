package io.poplarwood.gateway.peer

import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.time.Duration

/**
 * Load updates of upstreams that are collected to be sent together.
 *
 * @param onPending called when the first update is added after a drain
 */
internal class PendingLoadUpdates(private val upstreams: UpstreamTable, private val onPending: () -> Unit) {
    private val pending = LinkedHashMap<String, Int>()

    /** Adds [upstream] to the next update; [slowness] is in percent, 0 when there is no new value. */
    fun add(upstream: String, slowness: Int) {
        val first = pending.isEmpty()
        val previous = pending[upstream] ?: 0
        pending[upstream] = if (slowness > 0) slowness else previous
        if (first) onPending()
    }

    /**
     * Returns and removes the updates collected since the last call, the oldest [MAX_UPDATES] of them; the others stay
     * pending and are announced again.
     */
    fun drain(now: Duration): List<UpstreamLoad> {
        val drained = pending.entries.take(MAX_UPDATES).map { it.toPair() }
        val updates = drained.map { (id, slowness) ->
            val row = upstreams[id]
            val limit = row?.let { LimitUpdate.of(it, now) }
            UpstreamLoad(id, row?.ownInFlight ?: 0, slowness, row?.drainingIncarnation, limit)
        }
        drained.forEach { (id, _) -> pending.remove(id) }
        if (pending.isNotEmpty()) onPending()
        return updates
    }

    private companion object {
        /** About eight datagrams; more of them at once would fill the queue of a narrow link. */
        const val MAX_UPDATES = 400
    }
}
