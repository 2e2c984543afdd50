package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries. One is silent when nothing was heard for a while; it is still greeted for longer, so that two
 * entries that were cut off from each other meet again.
 */
internal class PeerTable(private val self: String) {
    private val rows = LinkedHashMap<String, PeerRow>()

    val all: Collection<PeerRow> get() = rows.values

    /** Peers heard lately. */
    val live: List<PeerRow> get() = rows.values.filter { !it.silent }

    /** The row of [name]. */
    operator fun get(name: String): PeerRow? = rows[name]

    /** Takes over what the store says of [name]. */
    fun know(name: String, record: PeerRecord, now: Duration) {
        if (name == self) return
        val row = rows.getOrPut(name) { PeerRow(name, record).also { it.heardAt = now } }
        if (row.silent) row.record = record
    }

    /** Takes over a hello; true when the peer was silent or unknown before. */
    fun heard(hello: PeerMessage.Hello, now: Duration): Boolean {
        if (hello.from == self) return false
        val record = PeerRecord(hello.zone, hello.callers, hello.peers, hello.capacity)
        val row = rows.getOrPut(hello.from) { PeerRow(hello.from, record) }
        row.record = record
        row.hello = hello
        row.heardAt = now
        if (hello.requestsPerS > 0) row.busyAt = now
        return row.silent.also { row.silent = false }
    }

    /** Peers that have just become silent. */
    fun silence(now: Duration): List<PeerRow> {
        rows.values.removeIf { it.silent && now - it.heardAt > FORGOTTEN }
        val lost = rows.values.filter { !it.silent && now - it.heardAt > it.patience }
        lost.forEach { it.silent = true }
        return lost
    }

    /** Live peers of [zone]. */
    fun liveOf(zone: String): List<PeerRow> = rows.values.filter { !it.silent && it.record.zone == zone }

    /** Zones that have peers. */
    fun zones(): Set<String> = rows.values.mapTo(HashSet()) { it.record.zone }

    /** Live peers that take requests. */
    val active: List<PeerRow> get() = rows.values.filter { it.active }

    /**
     * Entries that share a budget now, this one included: in each zone those that take requests or took some within the
     * budget's window, and as many as take requests at least. An entry that has not been heard yet is presumed to.
     */
    fun sharing(now: Duration): Int {
        val zones = rows.values.groupBy { it.record.zone }.values
        val others = zones.sumOf { zone ->
            maxOf(zone.count { shares(it, now) }, minOf(zone.size, ActiveChoice.FEWEST))
        }
        return 1 + others
    }

    private fun shares(row: PeerRow, now: Duration) =
        row.active || now - row.busyAt < SHARES || (row.hello == null && now - row.heardAt < SHARES)

    private companion object {
        val FORGOTTEN = 60.seconds

        /** The window of shared budgets and a margin. */
        val SHARES = 12.seconds
    }
}
