package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.limits.ConcurrencyLimits

/**
 * Issues the leases of the upstreams that [Subsets] assigns to this entry. New and expired leases go to this entry
 * itself, from where they move to the entries with a backlog.
 *
 * @param target number of leases that a row should have in total
 * @param onRowChanged called with each row whose held leases change
 */
internal class LeaseIssuer(
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val leaseLifetimeMicros: Long,
    private val target: (Int) -> Int,
    private val send: (EntryRef, LeaseMessage) -> Unit,
    private val onRowChanged: (Int) -> Unit,
) {
    private var issued = HashMap<Int, IssuedLeases>()
    private var otherEntries: Set<EntryRef> = emptySet()
    private var adaptDueAt = 0L

    /** Replaces the [rows] whose leases this entry issues, and the [others] that may hold such leases. */
    fun assign(rows: List<Int>, others: Set<EntryRef>, now: Long) {
        otherEntries = others
        // Holders renew at once when the issuer of an upstream changes, so their leases are known after one renewal
        // interval.
        val graceUntil = if (others.isEmpty()) now else now + GRACE_MICROS
        val old = issued
        issued = HashMap()
        for (row in rows) issued[row] = old[row] ?: IssuedLeases(row, graceUntil)
    }

    /** Records the leases that [from] holds of the upstreams of this issuer. */
    fun recordRenewal(from: EntryRef, message: LeaseMessage.Renew, now: Long) {
        val byRow = HashMap<Int, LeaseMessage.Holding>()
        for (holding in message.held) {
            val row = rows.rowOf(holding.upstream)
            if (row >= 0) byRow[row] = holding
        }
        for (leases in issued.values) leases.recordRenewal(from, byRow[leases.row], now)
    }

    /** Reissues expired leases and corrects persistent differences from the targets. */
    fun tick(now: Long) {
        val adaptDue = now >= adaptDueAt
        if (adaptDue) adaptDueAt = now + ADAPT_INTERVAL_MICROS
        for (leases in issued.values) {
            if (adaptDue) adaptLimit(leases)
            balance(leases, now)
        }
    }

    private fun balance(leases: IssuedLeases, now: Long) {
        val row = leases.row
        val expired = leases.removeExpired(now, leaseLifetimeMicros) { it in otherEntries }
        if (now < leases.graceUntil) return
        val surplus = rows.heldLeases[row] + leases.heldByOthers() - target(row)
        if (surplus < 0 && expired > 0) {
            issue(row, minOf(expired, -surplus))
        }
        val firstIssue = leases.graceUntil > 0 && surplus < 0
        leases.graceUntil = 0
        if (firstIssue) issue(row, -surplus)
        val persistent = leases.recordSurplus(
            rows.heldLeases[row] + leases.heldByOthers() - target(row),
            now,
            SURPLUS_WINDOW_MICROS,
        )
        if (persistent < 0) issue(row, -persistent)
        if (persistent > 0) revoke(leases, persistent)
    }

    private fun issue(row: Int, count: Int) {
        rows.heldLeases[row] += count
        onRowChanged(row)
    }

    private fun revoke(leases: IssuedLeases, count: Int) {
        val ownPart = minOf(count, rows.heldLeases[leases.row])
        rows.heldLeases[leases.row] -= ownPart
        onRowChanged(leases.row)
        var remaining = count - ownPart
        for ((ref, holder) in leases.holders) {
            val part = minOf(remaining, holder.count)
            if (part <= 0) continue
            holder.count -= part
            remaining -= part
            send(ref, LeaseMessage.Revoke(UpstreamKey.of(checkNotNull(rows.id[leases.row])), part))
        }
    }

    private fun adaptLimit(leases: IssuedLeases) {
        val row = leases.row
        var sheds = rows.shedsSinceRenewal[row]
        var latency = rows.latency[row]
        var latencyCount = if (latency > 0) 1 else 0
        for (holder in leases.holders.values) {
            sheds += holder.sheds
            holder.sheds = 0
            if (holder.latencyMicros > 0) {
                latency += holder.latencyMicros
                latencyCount++
            }
        }
        rows.shedsSinceRenewal[row] = 0
        val latencyKnown = latencyCount > 0 && !rows.reportsLoad[row]
        limits.adapt(row, if (latencyKnown) latency / latencyCount else 0.0, sheds)
    }

    private companion object {
        const val GRACE_MICROS = 1_500_000L
        const val ADAPT_INTERVAL_MICROS = 1_000_000L

        /** Longer than a renewal interval plus its delay, so that both ends of a move report it within one window. */
        const val SURPLUS_WINDOW_MICROS = 1_500_000L
    }
}
