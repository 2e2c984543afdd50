package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.decision.limits.ConcurrencyLimits

/**
 * Issues the leases of the upstreams whose home this entry is. New and lapsed leases go to this entry itself, from
 * where they move to the backlog.
 *
 * @param target leases that a row may have in all
 * @param changed called with each row whose held leases change
 */
internal class LeaseIssuer(
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val lifeMicros: Long,
    private val target: (Int) -> Int,
    private val send: (EntryRef, SlotMessage) -> Unit,
    private val changed: (Int) -> Unit,
) {
    private var homes = HashMap<Int, IssuedLeases>()
    private var live: Set<EntryRef> = emptySet()
    private var adaptAt = 0L

    /** Replaces the [rows] that are at home here and the [others] that may hold leases of them. */
    fun homes(rows: List<Int>, others: Set<EntryRef>, now: Long) {
        live = others
        // Holders renew at once when a home changes; what they hold is known after one renewal interval.
        val graceUntil = if (others.isEmpty()) now else now + GRACE_MICROS
        val old = homes
        homes = HashMap()
        for (row in rows) homes[row] = old[row] ?: IssuedLeases(row, graceUntil)
    }

    /** Takes in what [from] holds of the upstreams at home here. */
    fun renewed(from: EntryRef, message: SlotMessage.Renew, now: Long) {
        val byRow = HashMap<Int, SlotMessage.Holding>()
        for (holding in message.held) {
            val row = rows.rowOf(holding.upstream)
            if (row >= 0) byRow[row] = holding
        }
        for (home in homes.values) home.renewed(from, byRow[home.row], now)
    }

    /** Reissues lapsed leases and corrects lasting differences to the targets. */
    fun tick(now: Long) {
        val adapt = now >= adaptAt
        if (adapt) adaptAt = now + ADAPT_MICROS
        for (home in homes.values) {
            if (adapt) adapt(home)
            balance(home, now)
        }
    }

    private fun balance(home: IssuedLeases, now: Long) {
        val row = home.row
        val lapsed = home.lapse(now, lifeMicros) { it in live }
        if (now < home.graceUntil) return
        val surplus = rows.held[row] + home.elsewhere() - target(row)
        if (surplus < 0 && lapsed > 0) {
            issue(row, minOf(lapsed, -surplus))
        }
        val fresh = home.graceUntil > 0 && surplus < 0
        home.graceUntil = 0
        if (fresh) issue(row, -surplus)
        val lasting = home.lasting(rows.held[row] + home.elsewhere() - target(row), now, WINDOW_MICROS)
        if (lasting < 0) issue(row, -lasting)
        if (lasting > 0) withdraw(home, lasting)
    }

    private fun issue(row: Int, count: Int) {
        rows.held[row] += count
        changed(row)
    }

    private fun withdraw(home: IssuedLeases, count: Int) {
        val own = minOf(count, rows.held[home.row])
        rows.held[home.row] -= own
        changed(home.row)
        var left = count - own
        for ((ref, holder) in home.holders) {
            val part = minOf(left, holder.count)
            if (part <= 0) continue
            holder.count -= part
            left -= part
            send(ref, SlotMessage.Revoke(UpstreamKey.of(checkNotNull(rows.id[home.row])), part))
        }
    }

    private fun adapt(home: IssuedLeases) {
        val row = home.row
        var busy = rows.busySinceRenew[row]
        var latency = rows.latency[row]
        var known = if (latency > 0) 1 else 0
        for (holder in home.holders.values) {
            busy += holder.busy
            holder.busy = 0
            if (holder.latencyMicros > 0) {
                latency += holder.latencyMicros
                known++
            }
        }
        rows.busySinceRenew[row] = 0
        val tells = known > 0 && !rows.reports[row]
        limits.adapt(row, if (tells) latency / known else 0.0, busy)
    }

    private companion object {
        const val GRACE_MICROS = 1_500_000L
        const val ADAPT_MICROS = 1_000_000L

        /** Longer than a renewal interval with its delay, so that a move is seen from both ends within it. */
        const val WINDOW_MICROS = 1_500_000L
    }
}
