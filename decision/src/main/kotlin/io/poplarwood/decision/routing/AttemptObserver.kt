package io.poplarwood.decision.routing

import io.poplarwood.decision.limits.ConcurrencyLimits

/** Updates the state of an upstream from the result of an attempt. */
internal class AttemptObserver(
    private val rows: UpstreamTable,
    private val limits: ConcurrencyLimits,
    private val latencies: LatencyStatistics,
    private val picker: SlotPicker,
    private val shedBudget: ShedBudget,
    private val onRowChanged: (Int) -> Unit,
) {
    /** Records [observation], the end of an attempt at [row]; [leased] says whether the attempt held a lease. */
    fun record(row: Int, leased: Boolean, observation: AttemptObservation, now: Long) {
        observation.reportedSlots?.let {
            limits.setReportedSlots(row, it)
            rows.reportsLoad[row] = true
        }
        when (observation.result) {
            AttemptResult.ANSWERED -> recordAnswer(row, leased, observation, now)
            AttemptResult.BUSY -> recordShed(row, leased, observation, now)
            AttemptResult.DRAINING -> markLeaving(row)
            AttemptResult.SERVER_ERROR,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.CONNECTION_LOST,
            AttemptResult.TIMED_OUT,
            -> recordFailure(row, now)
            // The fault lies with the connection or the caller, so it says nothing about the upstream.
            AttemptResult.CONNECTION_SILENT, AttemptResult.CANCELLED -> Unit
        }
    }

    private fun recordAnswer(row: Int, leased: Boolean, observation: AttemptObservation, now: Long) {
        latencies.recordAnswer(row, observation.latency.inWholeMicroseconds.toDouble(), now)
        rows.consecutiveFailures[row] = 0
        rows.consecutiveSheds[row] = 0
        val slots = observation.reportedSlots
        val inFlight = observation.reportedInFlight
        val queued = slots != null && inFlight != null && inFlight >= slots
        observe(row, !queued, now)
        if (leased) return
        // An upstream with a queue of its own does not shed; a load above its slots counts as a shed instead.
        if (queued && inFlight > slots) shedBudget.recordShed()
        picker.recordUnleasedResult(!queued)
    }

    private fun recordShed(row: Int, leased: Boolean, observation: AttemptObservation, now: Long) {
        shedBudget.recordShed()
        observe(row, false, now)
        rows.backoffUntil[row] = now + SHED_BACKOFF_MICROS
        if (!leased) return picker.recordUnleasedResult(false)
        val slots = observation.reportedSlots
        val inFlight = observation.reportedInFlight
        // Attempts without a lease may fill the slots, and some slots may be free again when the load is read. Only a
        // shed with a load of at most half the slots shows that the limit is too high.
        if (slots != null && inFlight != null && inFlight * 2 > slots) return
        rows.shedsSinceRenewal[row]++
        if (++rows.consecutiveSheds[row] < MAX_CONSECUTIVE_SHEDS || rows.heldLeases[row] == 0) return
        rows.consecutiveSheds[row] = 0
        rows.heldLeases[row]--
    }

    private fun recordFailure(row: Int, now: Long) {
        val doublings = (++rows.consecutiveFailures[row]).coerceAtMost(MAX_DOUBLINGS)
        rows.backoffUntil[row] = now + (FAILURE_BACKOFF_MICROS shl doublings)
    }

    private fun markLeaving(row: Int) {
        rows.state[row] = UpstreamState.LEAVING
        rows.heldLeases[row] = 0
        onRowChanged(row)
    }

    private fun observe(row: Int, free: Boolean, now: Long) {
        rows.observedAt[row] = now
        rows.observedFree[row] = free
    }

    private companion object {
        /** Backoff after a shed: part of a service time, after which a slot may be free. */
        const val SHED_BACKOFF_MICROS = 2_000L

        /**
         * Base of the backoff after failures, doubled by each consecutive failure including the first, so that an
         * upstream that fails fast does not attract work.
         */
        const val FAILURE_BACKOFF_MICROS = 50_000L
        const val MAX_DOUBLINGS = 6

        /**
         * Consecutive sheds of leased attempts after which one lease is dropped, because it does not stand for a slot.
         */
        const val MAX_CONSECUTIVE_SHEDS = 4
    }
}
