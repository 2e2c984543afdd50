package io.poplarwood.gateway.peer

import io.poplarwood.gateway.upstream.UpstreamRow

/**
 * Divides the load of this entry into parts of bounded size. Each heartbeat comes with at most [MAX_PARTS]; what does
 * not fit follows with the next heartbeats, in turn.
 */
internal class LoadParts(private val self: String) {
    /** Id after which the next part begins. */
    private var next = ""

    /**
     * The parts to send with a heartbeat: the one inside it, if there is room, and those in messages of their own.
     *
     * @param busy upstreams with requests of this entry, in any order
     * @param notices draining and limited upstreams, all of which are reported
     * @param heartbeatRoom bytes that the heartbeat has left
     */
    fun next(busy: List<UpstreamRow>, notices: List<UpstreamLoad>, heartbeatRoom: Int): HeartbeatLoad {
        val remaining = ArrayDeque(busy.filter { it.id > next }.sortedBy { it.id })
        val pendingNotices = ArrayDeque(notices)
        val separate = ArrayList<LoadPart>()
        val inside = if (heartbeatRoom >= MIN_ROOM) part(remaining, pendingNotices, heartbeatRoom) else null
        var complete = inside != null && inside.through == null
        while (pendingNotices.isNotEmpty() || (!complete && separate.size < MAX_PARTS - 1)) {
            val part = part(remaining, pendingNotices, DatagramSize.roomIn(self))
            separate += part
            complete = part.through == null
        }
        if (complete) next = ""
        return HeartbeatLoad(inside, separate)
    }

    private fun part(busy: ArrayDeque<UpstreamRow>, notices: ArrayDeque<UpstreamLoad>, room: Int): LoadPart {
        val after = next
        var left = DatagramSize.roomInPart(room, after)
        val reported = ArrayList<UpstreamLoad>()
        while (notices.isNotEmpty() && DatagramSize.of(notices.first()) <= left) {
            val notice = notices.removeFirst()
            left -= DatagramSize.of(notice)
            reported += notice
        }
        val inFlight = LinkedHashMap<String, Int>()
        while (busy.isNotEmpty()) {
            val row = busy.first()
            val size = DatagramSize.ofInFlight(row.id, row.ownInFlight)
            // The last id stands in the part once more.
            if (size + DatagramSize.of(row.id) > left) break
            left -= size
            inFlight[row.id] = row.ownInFlight
            next = busy.removeFirst().id
        }
        return LoadPart(after, if (busy.isEmpty()) null else next, inFlight, reported)
    }

    private companion object {
        /** Messages with load for each heartbeat and receiver; 437 upstreams in use fit. */
        const val MAX_PARTS = 5

        /** Less room in a heartbeat is left unused; an id has at most 200 bytes. */
        const val MIN_ROOM = 300
    }
}
