package io.poplarwood.gateway.peer

import io.poplarwood.gateway.upstream.UpstreamTable

/**
 * News of upstreams that wait to be sent together.
 *
 * @param wake called when there is something to send and nothing was before
 */
internal class LoadBatch(private val upstreams: UpstreamTable, private val wake: () -> Unit) {
    private val pending = LinkedHashMap<String, Int>()

    /** Notes that something changed at [upstream]; [slowness] in percent, 0 when that is not new. */
    fun note(upstream: String, slowness: Int) {
        val first = pending.isEmpty()
        val known = pending[upstream] ?: 0
        pending[upstream] = if (slowness > 0) slowness else known
        if (first) wake()
    }

    /** News since the last call. */
    fun take(): List<UpstreamLoad> {
        val news = pending.map { (id, slowness) ->
            val row = upstreams[id]
            UpstreamLoad(id, row?.ownInFlight ?: 0, slowness, row?.leavingBorn)
        }
        pending.clear()
        return news
    }
}
