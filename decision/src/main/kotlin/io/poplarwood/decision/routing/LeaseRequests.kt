package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.id.Zone
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.work.Rank

/**
 * Wants of this entry and of its peers. Times are microseconds.
 *
 * @param bytesPerSecond bytes that wants and gives may take
 */
internal class LeaseRequests(
    private val zone: Zone,
    private val bytesPerSecond: () -> Int,
    private val random: Randomness,
    private val send: (EntryRef, SlotMessage) -> Unit,
) {
    /** A peer's want that waits for a lease to become free. */
    class Pending(
        val from: EntryRef,
        val rank: Rank,
        val sequence: Long,
        val waiting: Int,
        var count: Int,
        val until: Long,
    )

    private class Peer(val ref: EntryRef) {
        var idle = 0
        var idleAt = Long.MIN_VALUE / 2
        var delay = 0L
    }

    private var peers: List<Peer> = emptyList()
    private val peerOf = HashMap<EntryRef, Peer>()
    private val pending = ArrayDeque<Pending>()
    private val sentAt = LongArray(WINDOW)
    private val sentTo = arrayOfNulls<Peer>(WINDOW)
    private val open = BooleanArray(WINDOW)
    private var sequence = 0L
    private var bytes = 0.0
    private var bytesAt = 0L

    /** Wants of this entry that may still be answered. */
    fun outstanding(now: Long): Int {
        var n = 0
        for (i in 0 until WINDOW) if (open[i] && now - sentAt[i] < ANSWER_MICROS) n++
        return n
    }

    /** Replaces the peers. */
    fun peers(list: List<EntryRef>) {
        peerOf.keys.retainAll(list.toSet())
        peers = list.map { ref -> peerOf.getOrPut(ref) { Peer(ref) } }
    }

    /** Asks a peer for a lease for one of [count] calls of [rank], if the byte cap allows it. */
    fun want(rank: Rank, count: Int, now: Long): Boolean {
        refill(now)
        if (peers.isEmpty() || bytes < EXCHANGE_BYTES) return false
        val peer = choose(now)
        bytes -= EXCHANGE_BYTES
        val at = (sequence % WINDOW).toInt()
        open[at] = true
        sentAt[at] = now
        sentTo[at] = peer
        peer.idle = 0
        send(peer.ref, SlotMessage.Want(rank, count, sequence++, zone))
        return true
    }

    /** Takes in that [from] answered want [number] and has [idle] leases left. */
    fun given(from: EntryRef, number: Long, idle: Int, now: Long) {
        val peer = peerOf[from] ?: return
        peer.idle = idle
        peer.idleAt = now
        val at = (number % WINDOW).toInt()
        if (number < 0 || !open[at] || sentTo[at] !== peer) return
        open[at] = false
        val took = now - sentAt[at]
        peer.delay = if (peer.delay == 0L) took else minOf(took, peer.delay + DELAY_GROWTH_MICROS)
    }

    /** Keeps a want that could not be met at once. */
    fun keep(from: EntryRef, want: SlotMessage.Want, left: Int, now: Long) {
        if (pending.size >= MOST_PENDING) pending.removeFirst()
        pending.addLast(Pending(from, want.rank, want.sequence, want.count, left, now + KEEP_MICROS))
    }

    /** The most urgent kept want that [suits]; null when there is none. */
    inline fun next(now: Long, suits: (Pending) -> Boolean): Pending? {
        if (pending.isEmpty()) return null
        while (pending.isNotEmpty() && pending.first().until < now) pending.removeFirst()
        var best: Pending? = null
        for (p in pending) {
            if (p.until < now || best != null && p.rank >= best.rank) continue
            if (suits(p)) best = p
        }
        return best
    }

    /** Counts one lease given to [want]. */
    fun met(want: Pending) {
        if (--want.count <= 0) pending.remove(want)
    }

    private fun choose(now: Long): Peer {
        var best = peers[random.nextInt(peers.size)]
        repeat(SAMPLE) {
            val peer = peers[random.nextInt(peers.size)]
            if (cost(peer, now) < cost(best, now)) best = peer
        }
        return best
    }

    private fun cost(peer: Peer, now: Long): Long {
        val known = now - peer.idleAt < HINT_MICROS
        return peer.delay + if (known && peer.idle == 0) NO_IDLE_MICROS else 0
    }

    /** Whether the byte cap is too low for leases to follow the backlog, and allows no want now. */
    fun exhausted(now: Long): Boolean {
        if (bytesPerSecond() >= SCARCE_BYTES) return false
        refill(now)
        return bytes < EXCHANGE_BYTES
    }

    private fun refill(now: Long) {
        val rate = bytesPerSecond()
        val most = maxOf(rate * BURST_SECONDS, EXCHANGE_BYTES.toDouble())
        bytes = (bytes + (now - bytesAt) / MICROS_PER_SECOND * rate).coerceAtMost(most)
        bytesAt = now
    }

    private companion object {
        const val WINDOW = 64
        const val MOST_PENDING = 32
        const val SAMPLE = 3
        const val MICROS_PER_SECOND = 1e6
        const val BURST_SECONDS = 0.5

        /** Below this cap, waiting for leases was measured to collapse at 60% load; see docs/decisions/routing.md. */
        const val SCARCE_BYTES = 1_500

        /** A want and the give that answers it, with their envelopes, as the routing bench measures them. */
        const val EXCHANGE_BYTES = 100

        /** A want unanswered for this long counts as lost; longer than [KEEP_MICROS] and the way there and back. */
        const val ANSWER_MICROS = 10_000L

        /** How long a peer keeps a want: about one service time, within which some lease becomes free. */
        const val KEEP_MICROS = 6_000L

        /** Age up to which a peer's count of idle leases says something. */
        const val HINT_MICROS = 20_000L

        /** Cost of asking a peer that had no idle lease: the wait for one to become free. */
        const val NO_IDLE_MICROS = 3_000L

        /** The shortest answer time seen is forgotten this fast. */
        const val DELAY_GROWTH_MICROS = 50L
    }
}
