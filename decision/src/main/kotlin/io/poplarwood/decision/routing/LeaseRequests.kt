package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.work.Rank

/**
 * Lease requests that this entry has sent, and pending requests of its peers. Times are in microseconds.
 *
 * @param bytesPerSecond limit on the traffic of requests and grants
 */
internal class LeaseRequests(
    private val zone: Zone,
    private val bytesPerSecond: () -> Int,
    private val random: RandomSource,
    private val send: (EntryRef, LeaseMessage) -> Unit,
) {
    /** A peer's request that waits for a lease to become idle. */
    class PendingRequest(
        val from: EntryRef,
        val rank: Rank,
        val sequence: Long,
        val waiting: Int,
        var count: Int,
        val expiresAt: Long,
    )

    private class Peer(val ref: EntryRef) {
        var idleLeases = 0
        var idleReportedAt = Long.MIN_VALUE / 2
        var delay = 0L
    }

    private var peers: List<Peer> = emptyList()
    private val peerOf = HashMap<EntryRef, Peer>()
    private val pending = ArrayDeque<PendingRequest>()
    private val sentAt = LongArray(MAX_TRACKED)
    private val sentTo = arrayOfNulls<Peer>(MAX_TRACKED)
    private val open = BooleanArray(MAX_TRACKED)
    private var sequence = 0L
    private var availableBytes = 0.0
    private var refilledAt = 0L

    /** Number of requests of this entry that may still be answered. */
    fun outstanding(now: Long): Int {
        var n = 0
        for (i in 0 until MAX_TRACKED) if (open[i] && now - sentAt[i] < REPLY_TIMEOUT_MICROS) n++
        return n
    }

    /** Replaces the list of peers. */
    fun updatePeers(list: List<EntryRef>) {
        peerOf.keys.retainAll(list.toSet())
        peers = list.map { ref -> peerOf.getOrPut(ref) { Peer(ref) } }
    }

    /**
     * Requests a lease for one of [count] calls of [rank] from a peer; returns false when the byte limit forbids it.
     */
    fun request(rank: Rank, count: Int, now: Long): Boolean {
        refill(now)
        if (peers.isEmpty() || availableBytes < EXCHANGE_BYTES) return false
        val peer = choosePeer(now)
        availableBytes -= EXCHANGE_BYTES
        val index = (sequence % MAX_TRACKED).toInt()
        open[index] = true
        sentAt[index] = now
        sentTo[index] = peer
        peer.idleLeases = 0
        send(peer.ref, LeaseMessage.Request(rank, count, sequence++, zone))
        return true
    }

    /** Records that [from] granted request [number] and has [idleLeases] left. */
    fun recordGrant(from: EntryRef, number: Long, idleLeases: Int, now: Long) {
        val peer = peerOf[from] ?: return
        peer.idleLeases = idleLeases
        peer.idleReportedAt = now
        val index = (number % MAX_TRACKED).toInt()
        if (number < 0 || !open[index] || sentTo[index] !== peer) return
        open[index] = false
        val elapsed = now - sentAt[index]
        peer.delay = if (peer.delay == 0L) elapsed else minOf(elapsed, peer.delay + DELAY_INCREASE_MICROS)
    }

    /** Keeps the part of a request that could not be granted at once. */
    fun enqueue(from: EntryRef, request: LeaseMessage.Request, remaining: Int, now: Long) {
        if (pending.size >= MAX_PENDING) pending.removeFirst()
        pending.addLast(
            PendingRequest(
                from,
                request.rank,
                request.sequence,
                request.count,
                remaining,
                now + PENDING_LIFETIME_MICROS,
            ),
        )
    }

    /** The most urgent pending request that [suits]; null when there is none. */
    inline fun mostUrgent(now: Long, suits: (PendingRequest) -> Boolean): PendingRequest? {
        if (pending.isEmpty()) return null
        while (pending.isNotEmpty() && pending.first().expiresAt < now) pending.removeFirst()
        var best: PendingRequest? = null
        for (p in pending) {
            if (p.expiresAt < now || best != null && p.rank >= best.rank) continue
            if (suits(p)) best = p
        }
        return best
    }

    /** Records that one lease was granted to [request]. */
    fun recordLeaseGranted(request: PendingRequest) {
        if (--request.count <= 0) pending.remove(request)
    }

    private fun choosePeer(now: Long): Peer {
        var best = peers[random.nextInt(peers.size)]
        repeat(PEER_SAMPLES) {
            val peer = peers[random.nextInt(peers.size)]
            if (expectedDelay(peer, now) < expectedDelay(best, now)) best = peer
        }
        return best
    }

    private fun expectedDelay(peer: Peer, now: Long): Long {
        val known = now - peer.idleReportedAt < IDLE_COUNT_LIFETIME_MICROS
        return peer.delay + if (known && peer.idleLeases == 0) NO_IDLE_PENALTY_MICROS else 0
    }

    /** Whether the byte limit is too low for leases to follow the backlog and allows no request at [now]. */
    fun bytesExhausted(now: Long): Boolean {
        if (bytesPerSecond() >= SCARCE_BYTES_PER_SECOND) return false
        refill(now)
        return availableBytes < EXCHANGE_BYTES
    }

    private fun refill(now: Long) {
        val rate = bytesPerSecond()
        val capacity = maxOf(rate * BURST_SECONDS, EXCHANGE_BYTES.toDouble())
        availableBytes = (availableBytes + (now - refilledAt) / MICROS_PER_SECOND * rate).coerceAtMost(capacity)
        refilledAt = now
    }

    private companion object {
        const val MAX_TRACKED = 64
        const val MAX_PENDING = 32
        const val PEER_SAMPLES = 3
        const val MICROS_PER_SECOND = 1e6
        const val BURST_SECONDS = 0.5

        /** Below this limit, waiting for leases collapses at 60% load; see docs/decisions/routing.md. */
        const val SCARCE_BYTES_PER_SECOND = 1_500

        /** A request and the grant that answers it, with their envelopes. */
        const val EXCHANGE_BYTES = 100

        /**
         * Time after which an unanswered request counts as lost; longer than [PENDING_LIFETIME_MICROS] plus a round
         * trip.
         */
        const val REPLY_TIMEOUT_MICROS = 10_000L

        /** Time for which a peer keeps a request: about one service time, within which some lease becomes idle. */
        const val PENDING_LIFETIME_MICROS = 6_000L

        /** Age up to which a peer's reported count of idle leases is still useful. */
        const val IDLE_COUNT_LIFETIME_MICROS = 20_000L

        /** Expected delay of a request to a peer without idle leases: the wait for one to become idle. */
        const val NO_IDLE_PENALTY_MICROS = 3_000L

        /** Largest increase of a peer's delay per reply; otherwise the delay follows the shortest reply time. */
        const val DELAY_INCREASE_MICROS = 50L
    }
}
