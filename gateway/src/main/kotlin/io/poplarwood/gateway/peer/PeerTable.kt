package io.poplarwood.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries. A peer becomes silent when no heartbeat arrived within its timeout. A silent peer stays in the
 * table until [RETENTION] after its last heartbeat and is still sent heartbeats, so that two entries that a network
 * partition separated find each other again.
 */
internal class PeerTable(private val self: String) {
    private val byName = LinkedHashMap<String, PeerStatus>()

    val all: Collection<PeerStatus> get() = byName.values

    /** Peers that are not silent. */
    val live: List<PeerStatus> get() = byName.values.filter { !it.silent }

    operator fun get(name: String): PeerStatus? = byName[name]

    /** Adds the entry [name] from its stored [record], or updates the record of a silent peer. */
    fun addStored(name: String, record: PeerRecord, now: Duration) {
        if (name == self) return
        val peer = byName.getOrPut(name) { PeerStatus(name, record).also { it.lastSeenAt = now } }
        if (peer.silent) peer.record = record
    }

    /** Records a heartbeat; returns true when the peer was silent or unknown before. */
    fun onHeartbeat(hello: PeerMessage.Hello, now: Duration): Boolean {
        if (hello.from == self) return false
        val record = PeerRecord(hello.zone, hello.callers, hello.peers, hello.capacity, hello.relay)
        val peer = byName.getOrPut(hello.from) { PeerStatus(hello.from, record) }
        peer.record = record
        peer.hello = hello
        peer.lastSeenAt = now
        hello.sentMs?.let { peer.clock.record(it, hello.upMs, now) }
        if (hello.requestsPerS > 0) peer.lastRequestsAt = now
        return peer.silent.also { peer.silent = false }
    }

    /** When [hello] was sent, at the latest; null when its sender's clock is not known well enough. */
    fun sentAt(hello: PeerMessage.Hello): Duration? = hello.sentMs?.let { this[hello.from]?.clock?.sentAt(it) }

    /**
     * Marks the peers whose timeout has passed as silent and returns them. Removes silent peers that were last seen
     * more than [RETENTION] ago.
     */
    fun markSilent(now: Duration): List<PeerStatus> {
        byName.values.removeIf { it.silent && now - it.lastSeenAt > RETENTION }
        val expired = byName.values.filter { !it.silent && now - it.lastSeenAt > it.silenceTimeout }
        expired.forEach { it.silent = true }
        return expired
    }

    fun liveInZone(zone: String): List<PeerStatus> = byName.values.filter { !it.silent && it.record.zone == zone }

    /** Zones of all peers, including silent ones. */
    fun zones(): Set<String> = byName.values.mapTo(HashSet()) { it.record.zone }

    /** Peers that take callers of their zone, or still receive requests from them. */
    val active: List<PeerStatus> get() = byName.values.filter { it.active }

    /**
     * Number of entries that share a budget now, including this one. In each zone, entries count that take requests or
     * took some within the window of the budget, but at least [ActivePolicy.FEWEST], since that many take callers in
     * every zone. An entry whose first heartbeat has not arrived yet counts for [SHARING_WINDOW] after it became known.
     */
    fun budgetSharers(now: Duration): Int {
        val zones = byName.values.groupBy { it.record.zone }.values
        val others = zones.sumOf { zone ->
            maxOf(zone.count { sharesBudget(it, now) }, minOf(zone.size, ActivePolicy.MIN_ACTIVE))
        }
        return 1 + others
    }

    private fun sharesBudget(peer: PeerStatus, now: Duration) =
        peer.active || now - peer.lastRequestsAt < SHARING_WINDOW ||
            (peer.hello == null && now - peer.lastSeenAt < SHARING_WINDOW)

    private companion object {
        val RETENTION = 60.seconds

        /** The window of shared budgets plus a margin. */
        val SHARING_WINDOW = 12.seconds
    }
}
