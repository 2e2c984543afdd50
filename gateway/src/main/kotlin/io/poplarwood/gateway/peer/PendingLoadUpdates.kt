package io.poplarwood.gateway.peer

import io.poplarwood.gateway.upstream.UpstreamTable

/**
 * News of upstreams that wait to be sent together.
 *
 * @param onPending called when there is something to send and nothing was before
 */
internal class PendingLoadUpdates(private val upstreams: UpstreamTable, private val onPending: () -> Unit) {
    private val pending = LinkedHashMap<String, Int>()

    /** Notes that something changed at [upstream]; [slowness] in percent, 0 when that is not new. */
    fun add(upstream: String, slowness: Int) {
        val first = pending.isEmpty()
        val previous = pending[upstream] ?: 0
        pending[upstream] = if (slowness > 0) slowness else previous
        if (first) onPending()
    }

    /** News since the last call. */
    fun drain(): List<UpstreamLoad> {
        val updates = pending.map { (id, slowness) ->
            val row = upstreams[id]
            UpstreamLoad(id, row?.ownInFlight ?: 0, slowness, row?.leavingBorn)
        }
        pending.clear()
        return updates
    }
}
