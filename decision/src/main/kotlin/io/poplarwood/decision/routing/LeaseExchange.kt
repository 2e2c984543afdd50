package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.limits.ConcurrencyLimits
import io.poplarwood.decision.limits.ConnectionShare
import kotlin.math.ceil

/** Moves leases between this entry, its peers and the home entries. */
internal class LeaseExchange(
    private val self: EntryRef,
    private val settings: RouterSettings,
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val evidence: LatencyStatistics,
    private val ejection: Ejection,
    private val picker: SlotPicker,
    private val wants: LeaseRequests,
    private val send: (EntryRef, SlotMessage) -> Unit,
    private val changed: (Int) -> Unit,
) {
    /** Stops moves of leases between entries; renewals go on. */
    var paused = false

    private var now = 0L
    private val home =
        LeaseIssuer(rows, limits, settings.leaseLife.inWholeMicroseconds, ::target, send, changed)
    private var entries: List<EntryRef> = listOf(self)
    private var sharing = HashMap<Int, IntArray>()
    private var homeOf = HashMap<Int, EntryRef>()
    private var homesTold: Set<EntryRef> = emptySet()
    private var renewAt = 0L
    private var ownWaiting = 0
    private var settledAt = 0L

    /** Replaces the live entries. */
    fun entries(list: List<EntryRef>, now: Long) {
        if (settledAt == 0L) settledAt = now + SETTLE_MICROS
        entries = (if (self in list) list else list + self).sortedBy { it.toString() }
        wants.peers(entries.filter { it != self })
    }

    /** Whether leases may not have been issued yet, because this entry has just learnt of the others. */
    fun settling(now: Long): Boolean = now < settledAt

    /** Divides the upstreams of [views] among the entries anew. */
    fun assign(views: List<UpstreamView>, at: Long) {
        now = at
        val sorted = views.filter { it.state != UpstreamState.LEAVING }.sortedBy { it.id }
        val assigned = Subsets.assign(entries, sorted.map { it.id }, settings.subsetSize)
        val me = entries.indexOf(self)
        for (row in 0 until rows.size) rows.member[row] = false
        sharing = HashMap()
        homeOf = HashMap()
        for ((view, members) in sorted.zip(assigned)) {
            val row = rows.rowOf(view.id)
            sharing[row] = members
            homeOf[row] = entries[members[0]]
            rows.member[row] = me in members
            rows.share[row] = ConnectionShare.of(rows.connections[row], members.size, settings.connectionReserve)
        }
        home.homes(homeOf.filterValues { it == self }.keys.toList(), entries.toSet() - self, now)
        renewAt = 0
    }

    /** Asks peers for leases while more calls wait than wants are out. */
    fun ask(waiting: IntArray, now: Long) {
        if (paused) return
        val total = waiting.sum()
        ownWaiting = total
        if (total == 0) return
        val rank = Rank.entries[waiting.indexOfFirst { it > 0 }]
        val out = wants.outstanding(now)
        if (out < minOf(total, MOST_WANTS)) wants.want(rank, total - out, now)
    }

    /** Gives a lease of [row] that has become idle to a kept want, if that is more urgent than what waits here. */
    fun serve(row: Int, topWaiting: Int, now: Long) {
        if (paused || row !in picker.withLease) return
        val want = wants.next(now) { mayGive(it.rank, it.waiting, topWaiting) && uses(it.from, row) } ?: return
        give(want.from, row, want.sequence)
        wants.met(want)
    }

    /** Takes in a message of a peer. */
    fun receive(from: EntryRef, message: SlotMessage, topWaiting: Int, now: Long) {
        this.now = now
        when (message) {
            is SlotMessage.Want -> wanted(from, message, topWaiting, now)
            is SlotMessage.Give -> given(from, message, now)
            is SlotMessage.Renew -> home.renewed(from, message, now)
            is SlotMessage.Revoke -> revoked(message)
        }
    }

    /** Renews leases and runs the home's part. */
    fun tick(now: Long) {
        this.now = now
        home.tick(now)
        if (now >= renewAt) {
            renew()
            renewAt = now + settings.renewEvery.inWholeMicroseconds
        }
    }

    /** Drops all leases, as after a pause in which they may have lapsed. */
    fun forgetLeases() {
        for (row in 0 until rows.size) {
            rows.held[row] = 0
            changed(row)
        }
    }

    /** Whether a peer with [count] calls of [rank] and less urgent waiting needs a lease more than this entry does. */
    private fun mayGive(rank: Rank, count: Int, topWaiting: Int): Boolean =
        rank.ordinal < topWaiting || rank.ordinal == topWaiting && count >= ownWaiting * LONGER + 2

    private fun wanted(from: EntryRef, want: SlotMessage.Want, topWaiting: Int, now: Long) {
        if (paused) return
        var left = want.count.coerceIn(1, MOST_GIVEN)
        while (left > 0 && mayGive(want.rank, want.count, topWaiting)) {
            val row = idleFor(from, want)
            if (row < 0) break
            give(from, row, want.sequence)
            left--
        }
        if (left > 0) wants.keep(from, want, left, now)
    }

    /** The idle lease that suits the sender of [want] best: of a fast upstream in its zone, and not near here. */
    private fun idleFor(from: EntryRef, want: SlotMessage.Want): Int {
        var best = -1
        var bestScore = 0
        for (at in 0 until picker.withLease.size) {
            val row = picker.withLease[at]
            val slow = evidence.slow(row)
            if (!uses(from, row) || want.rank == Rank.URGENT && slow) continue
            var score = 1
            if (!slow) score += 4
            if (rows.zones[row] == want.zone) score += 2
            if (!rows.near[row]) score += 1
            if (score > bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    private fun give(to: EntryRef, row: Int, sequence: Long) {
        rows.held[row]--
        changed(row)
        val latency = if (rows.samples[row] > 0) rows.latency[row].toInt() else 0
        send(
            to,
            SlotMessage.Give(UpstreamKey.of(checkNotNull(rows.id[row])), 1, picker.withLease.size, sequence, latency),
        )
    }

    private fun given(from: EntryRef, give: SlotMessage.Give, now: Long) {
        wants.given(from, give.sequence, give.idle, now)
        val row = rows.rowOf(give.upstream)
        if (row < 0 || !rows.listed[row] || rows.state[row] == UpstreamState.LEAVING) return
        rows.held[row] += give.count.coerceIn(0, limits.limit(row))
        evidence.heard(row, give.latencyMicros.toDouble(), now)
        changed(row)
    }

    private fun revoked(message: SlotMessage.Revoke) {
        val row = rows.rowOf(message.upstream)
        if (row < 0) return
        rows.held[row] = (rows.held[row] - message.count).coerceAtLeast(0)
        changed(row)
    }

    private fun renew() {
        val byHome = HashMap<EntryRef, ArrayList<SlotMessage.Holding>>()
        for ((row, at) in homeOf) {
            if (at == self || rows.held[row] == 0) continue
            val name = rows.id[row] ?: continue
            val latency = if (rows.samples[row] > 0) rows.latency[row].toInt() else 0
            val holding = SlotMessage.Holding(UpstreamKey.of(name), rows.held[row], rows.busySinceRenew[row], latency)
            rows.busySinceRenew[row] = 0
            byHome.getOrPut(at) { ArrayList() } += holding
        }
        for (ref in homesTold - byHome.keys) send(ref, SlotMessage.Renew(emptyList(), picker.withLease.size))
        for ((ref, held) in byHome) send(ref, SlotMessage.Renew(held, picker.withLease.size))
        homesTold = byHome.keys
    }

    private fun uses(entry: EntryRef, row: Int): Boolean {
        val members = sharing[row] ?: return false
        for (m in members) if (entries[m] == entry) return true
        return false
    }

    private fun target(row: Int): Int {
        val state = rows.state[row]
        if (state == UpstreamState.LEAVING || !rows.listed[row]) return 0
        return ceil(limits.limit(row) * ejection.share(row, now)).toInt()
    }

    private companion object {
        /** Homes issue after their time of grace; then leases spread to where the work is. */
        const val SETTLE_MICROS = 2_000_000L

        /** Wants out at once; more only cost bytes. */
        const val MOST_WANTS = 4

        /** Times its own waiting calls that a peer must have for a lease that both want at one rank. */
        const val LONGER = 2

        /** Leases that one want may get from one peer. */
        const val MOST_GIVEN = 2
    }
}
