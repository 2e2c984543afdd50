package io.poplarwood.decision.routing

import io.poplarwood.decision.limits.ConcurrencyLimits

/** Turns the end of an attempt into evidence about its upstream. */
internal class AttemptObserver(
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val evidence: LatencyStatistics,
    private val picker: SlotPicker,
    private val budget: ShedBudget,
    private val changed: (Int) -> Unit,
) {
    /** Takes in [end] of an attempt at [row], [leased] or not. */
    fun take(row: Int, leased: Boolean, end: AttemptEvidence, now: Long) {
        end.reportedSlots?.let {
            limits.report(row, it)
            rows.reports[row] = true
        }
        when (end.result) {
            AttemptResult.ANSWERED -> answered(row, leased, end, now)
            AttemptResult.BUSY -> busy(row, leased, end, now)
            AttemptResult.DRAINING -> leave(row)
            AttemptResult.SERVER_ERROR,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.CONNECTION_LOST,
            AttemptResult.TIMED_OUT,
            -> failed(row, now)
            // The connection or the caller was at fault, not the upstream.
            AttemptResult.CONNECTION_SILENT, AttemptResult.CANCELLED -> Unit
        }
    }

    private fun answered(row: Int, leased: Boolean, end: AttemptEvidence, now: Long) {
        evidence.answered(row, end.latency.inWholeMicroseconds.toDouble(), now)
        rows.failures[row] = 0
        rows.busyStreak[row] = 0
        val slots = end.reportedSlots
        val load = end.reportedInFlight
        val queued = slots != null && load != null && load >= slots
        see(row, !queued, now)
        if (leased) return
        // An upstream that queues does not shed; a load at or above its slots shows the same.
        if (queued && load > slots) budget.shed()
        picker.found(!queued)
    }

    private fun busy(row: Int, leased: Boolean, end: AttemptEvidence, now: Long) {
        budget.shed()
        see(row, false, now)
        rows.restUntil[row] = now + REST_MICROS
        if (!leased) return picker.found(false)
        val slots = end.reportedSlots
        val load = end.reportedInFlight
        // Attempts without a lease may fill the slots, and some may be free again when the load is read; only a shed
        // far below the slots says that the limit is too high.
        if (slots != null && load != null && load * 2 > slots) return
        rows.busySinceRenew[row]++
        if (++rows.busyStreak[row] < MOST_BUSY || rows.held[row] == 0) return
        rows.busyStreak[row] = 0
        rows.held[row]--
    }

    private fun failed(row: Int, now: Long) {
        val n = (++rows.failures[row]).coerceAtMost(MOST_DOUBLINGS)
        rows.restUntil[row] = now + (FAILURE_REST_MICROS shl n)
    }

    private fun leave(row: Int) {
        rows.state[row] = UpstreamState.LEAVING
        rows.held[row] = 0
        changed(row)
    }

    private fun see(row: Int, free: Boolean, now: Long) {
        rows.seenAt[row] = now
        rows.seenFree[row] = free
    }

    private companion object {
        /** Rest after a shed; part of a service time, after which a slot may be free. */
        const val REST_MICROS = 2_000L

        /** Rest after the first failure, doubled with each further one; an upstream that fails fast draws no work. */
        const val FAILURE_REST_MICROS = 50_000L
        const val MOST_DOUBLINGS = 6

        /** Sheds in a row that show that a lease does not stand for a slot. */
        const val MOST_BUSY = 4
    }
}
