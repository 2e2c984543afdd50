package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries. One is silent when nothing was heard for a while; it is still greeted for longer, so that two
 * entries that were cut off from each other meet again.
 */
internal class PeerTable(private val self: String) {
    private val byName = LinkedHashMap<String, PeerStatus>()

    val all: Collection<PeerStatus> get() = byName.values

    /** Peers heard lately. */
    val live: List<PeerStatus> get() = byName.values.filter { !it.silent }

    /** The row of [name]. */
    operator fun get(name: String): PeerStatus? = byName[name]

    /** Takes over what the store says of [name]. */
    fun know(name: String, record: PeerRecord, now: Duration) {
        if (name == self) return
        val peer = byName.getOrPut(name) { PeerStatus(name, record).also { it.lastSeenAt = now } }
        if (peer.silent) peer.record = record
    }

    /** Takes over a hello; true when the peer was silent or unknown before. */
    fun heard(hello: PeerMessage.Hello, now: Duration): Boolean {
        if (hello.from == self) return false
        val record = PeerRecord(hello.zone, hello.callers, hello.peers, hello.capacity)
        val peer = byName.getOrPut(hello.from) { PeerStatus(hello.from, record) }
        peer.record = record
        peer.hello = hello
        peer.lastSeenAt = now
        if (hello.requestsPerS > 0) peer.lastRequestsAt = now
        return peer.silent.also { peer.silent = false }
    }

    /** Peers that have just become silent. */
    fun markSilent(now: Duration): List<PeerStatus> {
        byName.values.removeIf { it.silent && now - it.lastSeenAt > RETENTION }
        val expired = byName.values.filter { !it.silent && now - it.lastSeenAt > it.silenceTimeout }
        expired.forEach { it.silent = true }
        return expired
    }

    /** Live peers of [zone]. */
    fun liveInZone(zone: String): List<PeerStatus> = byName.values.filter { !it.silent && it.record.zone == zone }

    /** Zones that have peers. */
    fun zones(): Set<String> = byName.values.mapTo(HashSet()) { it.record.zone }

    /** Live peers that take requests. */
    val active: List<PeerStatus> get() = byName.values.filter { it.active }

    /**
     * Entries that share a budget now, this one included: in each zone those that take requests or took some within the
     * budget's window, and as many as take requests at least. An entry that has not been heard yet is presumed to.
     */
    fun sharing(now: Duration): Int {
        val zones = byName.values.groupBy { it.record.zone }.values
        val others = zones.sumOf { zone ->
            maxOf(zone.count { sharesBudget(it, now) }, minOf(zone.size, ActiveChoice.FEWEST))
        }
        return 1 + others
    }

    private fun sharesBudget(peer: PeerStatus, now: Duration) =
        peer.active || now - peer.lastRequestsAt < SHARING_WINDOW ||
            (peer.hello == null && now - peer.lastSeenAt < SHARING_WINDOW)

    private companion object {
        val RETENTION = 60.seconds

        /** The window of shared budgets and a margin. */
        val SHARING_WINDOW = 12.seconds
    }
}
