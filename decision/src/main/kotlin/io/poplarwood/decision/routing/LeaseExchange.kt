package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.limits.ConcurrencyLimits
import io.poplarwood.decision.limits.ConnectionShare
import kotlin.math.ceil

/** Requests, grants and renews leases between this entry, its peers and the entries that issue leases. */
internal class LeaseExchange(
    private val self: EntryRef,
    private val settings: RouterSettings,
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val latencies: LatencyStatistics,
    private val ejection: Ejection,
    private val picker: SlotPicker,
    private val requests: LeaseRequests,
    private val send: (EntryRef, LeaseMessage) -> Unit,
    private val onRowChanged: (Int) -> Unit,
) {
    /** Stops the movement of leases between entries; renewals go on. */
    var paused = false

    private var now = 0L
    private val issuer =
        LeaseIssuer(rows, limits, settings.leaseLifetime.inWholeMicroseconds, ::target, send, onRowChanged)
    private var entries: List<EntryRef> = listOf(self)
    private var sharingEntries = HashMap<Int, IntArray>()
    private var issuerOf = HashMap<Int, EntryRef>()
    private var renewedIssuers: Set<EntryRef> = emptySet()
    private var nextRenewalAt = 0L
    private var ownWaiting = 0
    private var settledAt = 0L

    /** Replaces the list of live entries. */
    fun updateEntries(list: List<EntryRef>, now: Long) {
        if (settledAt == 0L) settledAt = now + SETTLING_MICROS
        entries = (if (self in list) list else list + self).sortedBy { it.toString() }
        requests.updatePeers(entries.filter { it != self })
    }

    /**
     * Whether leases may not have been issued yet, because this entry received its first list of entries a moment ago.
     */
    fun settling(now: Long): Boolean = now < settledAt

    /** Recomputes which entries share each upstream of [views], and which of them issues its leases. */
    fun assign(views: List<UpstreamView>, at: Long) {
        now = at
        val sorted = views.filter { it.state != UpstreamState.LEAVING }.sortedBy { it.id }
        val assigned = Subsets.assign(entries, sorted.map { it.id }, settings.subsetSize)
        val selfIndex = entries.indexOf(self)
        for (row in 0 until rows.size) rows.inSubset[row] = false
        sharingEntries = HashMap()
        issuerOf = HashMap()
        for ((view, members) in sorted.zip(assigned)) {
            val row = rows.rowOf(view.id)
            sharingEntries[row] = members
            issuerOf[row] = entries[members[0]]
            rows.inSubset[row] = selfIndex in members
            rows.connectionShare[row] =
                ConnectionShare.of(rows.connections[row], members.size, settings.connectionReserve)
        }
        issuer.assign(issuerOf.filterValues { it == self }.keys.toList(), entries.toSet() - self, now)
        nextRenewalAt = 0
    }

    /** Requests leases from peers while more calls wait than requests are outstanding. */
    fun requestLeases(waiting: IntArray, now: Long) {
        if (paused) return
        val total = waiting.sum()
        ownWaiting = total
        if (total == 0) return
        val rank = Rank.entries[waiting.indexOfFirst { it > 0 }]
        val out = requests.outstanding(now)
        if (out < minOf(total, MAX_OUTSTANDING)) requests.request(rank, total - out, now)
    }

    /** Grants an idle lease of [row] to a pending request of a peer that needs the lease more than this entry does. */
    fun offerIdle(row: Int, mostUrgentWaiting: Int, now: Long) {
        if (paused || row !in picker.withIdleLease) return
        val request = requests.mostUrgent(now) {
            shouldGrant(it.rank, it.waiting, mostUrgentWaiting) && usesRow(it.from, row)
        } ?: return
        grant(request.from, row, request.sequence)
        requests.recordLeaseGranted(request)
    }

    /** Handles a lease message of the peer [from]. */
    fun receive(from: EntryRef, message: LeaseMessage, mostUrgentWaiting: Int, now: Long) {
        this.now = now
        when (message) {
            is LeaseMessage.Request -> receiveRequest(from, message, mostUrgentWaiting, now)
            is LeaseMessage.Grant -> receiveGrant(from, message, now)
            is LeaseMessage.Renew -> issuer.recordRenewal(from, message, now)
            is LeaseMessage.Revoke -> receiveRevoke(message)
        }
    }

    /** Renews held leases and maintains the leases that this entry issues. */
    fun tick(now: Long) {
        this.now = now
        issuer.tick(now)
        if (now >= nextRenewalAt) {
            renew()
            nextRenewalAt = now + settings.renewalInterval.inWholeMicroseconds
        }
    }

    /** Drops all leases, as after a pause of this process, during which they may have expired. */
    fun dropLeases() {
        for (row in 0 until rows.size) {
            rows.heldLeases[row] = 0
            onRowChanged(row)
        }
    }

    /**
     * Whether a peer with [count] waiting calls, the most urgent of [rank], needs a lease more than this entry does.
     */
    private fun shouldGrant(rank: Rank, count: Int, mostUrgentWaiting: Int): Boolean =
        rank.ordinal < mostUrgentWaiting || rank.ordinal == mostUrgentWaiting && count >= ownWaiting * BACKLOG_RATIO + 2

    private fun receiveRequest(from: EntryRef, request: LeaseMessage.Request, mostUrgentWaiting: Int, now: Long) {
        if (paused) return
        var remaining = request.count.coerceIn(1, MAX_LEASES_PER_REQUEST)
        while (remaining > 0 && shouldGrant(request.rank, request.count, mostUrgentWaiting)) {
            val row = bestIdleRow(from, request)
            if (row < 0) break
            grant(from, row, request.sequence)
            remaining--
        }
        if (remaining > 0) requests.enqueue(from, request, remaining, now)
    }

    /**
     * Row of the idle lease that suits the sender of [request] best, or -1 when none does: preferably of an upstream
     * that is not slow, is in the sender's zone and is outside this entry's.
     */
    private fun bestIdleRow(from: EntryRef, request: LeaseMessage.Request): Int {
        var best = -1
        var bestScore = 0
        for (at in 0 until picker.withIdleLease.size) {
            val row = picker.withIdleLease[at]
            val slow = latencies.isSlow(row)
            if (!usesRow(from, row) || request.rank == Rank.URGENT && slow) continue
            var score = 1
            if (!slow) score += 4
            if (rows.zones[row] == request.zone) score += 2
            if (!rows.sameZone[row]) score += 1
            if (score > bestScore) {
                best = row
                bestScore = score
            }
        }
        return best
    }

    private fun grant(to: EntryRef, row: Int, sequence: Long) {
        rows.heldLeases[row]--
        onRowChanged(row)
        val latency = if (rows.sampleCount[row] > 0) rows.latency[row].toInt() else 0
        send(
            to,
            LeaseMessage.Grant(
                UpstreamKey.of(checkNotNull(rows.id[row])),
                1,
                picker.withIdleLease.size,
                sequence,
                latency,
            ),
        )
    }

    private fun receiveGrant(from: EntryRef, grant: LeaseMessage.Grant, now: Long) {
        requests.recordGrant(from, grant.sequence, grant.idle, now)
        val row = rows.rowOf(grant.upstream)
        if (row < 0 || !rows.listed[row] || rows.state[row] == UpstreamState.LEAVING) return
        rows.heldLeases[row] += grant.count.coerceIn(0, limits.limit(row))
        latencies.mergePeerLatency(row, grant.latencyMicros.toDouble(), now)
        onRowChanged(row)
    }

    private fun receiveRevoke(message: LeaseMessage.Revoke) {
        val row = rows.rowOf(message.upstream)
        if (row < 0) return
        rows.heldLeases[row] = (rows.heldLeases[row] - message.count).coerceAtLeast(0)
        onRowChanged(row)
    }

    private fun renew() {
        val byIssuer = HashMap<EntryRef, ArrayList<LeaseMessage.Holding>>()
        for ((row, entry) in issuerOf) {
            if (entry == self || rows.heldLeases[row] == 0) continue
            val name = rows.id[row] ?: continue
            val latency = if (rows.sampleCount[row] > 0) rows.latency[row].toInt() else 0
            val holding =
                LeaseMessage.Holding(UpstreamKey.of(name), rows.heldLeases[row], rows.shedsSinceRenewal[row], latency)
            rows.shedsSinceRenewal[row] = 0
            byIssuer.getOrPut(entry) { ArrayList() } += holding
        }
        for (to in renewedIssuers - byIssuer.keys) send(to, LeaseMessage.Renew(emptyList(), picker.withIdleLease.size))
        for ((ref, held) in byIssuer) send(ref, LeaseMessage.Renew(held, picker.withIdleLease.size))
        renewedIssuers = byIssuer.keys
    }

    private fun usesRow(entry: EntryRef, row: Int): Boolean {
        val members = sharingEntries[row] ?: return false
        for (m in members) if (entries[m] == entry) return true
        return false
    }

    private fun target(row: Int): Int {
        val state = rows.state[row]
        if (state == UpstreamState.LEAVING || !rows.listed[row]) return 0
        return ceil(limits.limit(row) * ejection.workShare(row, now)).toInt()
    }

    private companion object {
        /** Issuers wait for their grace period; after that, leases still have to move to the entries with a backlog. */
        const val SETTLING_MICROS = 2_000_000L

        /** Lease requests outstanding at once; more of them cost bytes and bring no more leases. */
        const val MAX_OUTSTANDING = 4

        /**
         * Ratio of a peer's waiting calls to this entry's above which the peer gets a lease when both wait at the same
         * rank.
         */
        const val BACKLOG_RATIO = 2

        /** Leases that one request may get from one peer. */
        const val MAX_LEASES_PER_REQUEST = 2
    }
}
