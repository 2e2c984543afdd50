package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.limits.ConcurrencyLimits
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration.Companion.microseconds

/**
 * The router in production use. Leases for slots move to the entries with a backlog; when no lease is idle, a call may
 * be dispatched to an upstream that probably has a free slot, judged by observations whose weight decays with age.
 *
 * @param send sends a message to a peer; must not call back into this router
 */
class SlotRouter(
    private val self: EntryRef,
    private val settings: RouterSettings,
    private val ticker: Ticker,
    random: RandomSource,
    send: (EntryRef, LeaseMessage) -> Unit,
) : Router {
    private val rows = UpstreamTable(settings.zone)
    private val limits = ConcurrencyLimits()
    private val latencies = LatencyStatistics(rows)
    private val ejection = Ejection(rows, latencies, settings.ramp.inWholeMicroseconds, ::refreshCandidates)
    private val picker = SlotPicker(rows, latencies, ejection, random)
    private val shedBudget = ShedBudget(settings.shedsPerRequest)
    private val requests = LeaseRequests(settings.zone, settings.leaseBytesPerSecond, random, send)
    private val exchange =
        LeaseExchange(self, settings, rows, limits, latencies, ejection, picker, requests, send, ::refreshCandidates)
    private val observer = AttemptObserver(rows, limits, latencies, picker, shedBudget, ::refreshCandidates)
    private var views: ImmutableList<UpstreamView> = emptyList<UpstreamView>().toImmutableList()
    private var mostUrgentWaiting = Rank.entries.size
    private var urgentWaitingSince = 0L
    private var sequence = 0L
    private var statisticsDueAt = 0L
    private var lastTickAt = 0L

    override fun reserve(request: RouteRequest): Reservation {
        if (picker.usable.size == 0) return Reservation.NoUpstream
        val now = now()
        picker.begin(request)
        val row = choose(request, now)
        if (row < 0) return Reservation.Overloaded
        val leased = row in picker.withIdleLease
        if (leased) rows.leasedInFlight[row]++ else rows.unleasedInFlight[row]++
        if (request.alone) rows.runningAlone[row] = true
        shedBudget.recordGrant()
        refreshCandidates(row)
        return Reservation.Granted(slot(row, leased), checkNotNull(rows.id[row]), picker.considered)
    }

    /**
     * Whether a call has to wait for a lease because the shed budget is spent. It does not wait before leases have been
     * issued, nor when the byte limit on lease requests is too low for leases to arrive.
     */
    private fun mustWait(rank: Rank, now: Long): Boolean =
        !exchange.settling(now) && !shedBudget.allows(rank) && !requests.bytesExhausted(now)

    private fun choose(request: RouteRequest, now: Long): Int {
        val rank = request.rank
        val waitForFast = rank == Rank.URGENT && !urgentWaitedLong(now)
        val lease = picker.leasedRow(rank, request.alone, !waitForFast, now)
        if (lease >= 0 || mustWait(rank, now)) return lease
        return picker.unleasedRow(request.alone, now)
    }

    private fun urgentWaitedLong(now: Long) =
        urgentWaitingSince > 0 && now - urgentWaitingSince > latencies.median * MAX_FAST_WAIT_MEDIANS

    override fun release(slot: SlotId, evidence: AttemptObservation) {
        val row = (slot.value and ROW_MASK).toInt()
        val leased = slot.value and LEASED_BIT != 0L
        if (leased) rows.leasedInFlight[row]-- else rows.unleasedInFlight[row]--
        if (rows.inFlight(row) == 0) rows.runningAlone[row] = false
        val now = now()
        observer.record(row, leased, evidence, now)
        refreshCandidates(row)
        exchange.offerIdle(row, mostUrgentWaiting, now)
        rows.removeIfUnused(row)
    }

    override fun updateBacklog(waiting: IntArray) {
        val now = now()
        mostUrgentWaiting = waiting.indexOfFirst { it > 0 }.let { if (it < 0) Rank.entries.size else it }
        if (mostUrgentWaiting != Rank.URGENT.ordinal) {
            urgentWaitingSince = 0
        } else if (urgentWaitingSince == 0L) {
            urgentWaitingSince = now
        }
        exchange.requestLeases(waiting, now)
    }

    override fun receive(from: EntryRef, message: LeaseMessage) =
        exchange.receive(from, message, mostUrgentWaiting, now())

    override fun updateUpstreams(list: ImmutableList<UpstreamView>) {
        val now = now()
        val first = views.isEmpty()
        views = list
        for (row in 0 until rows.size) rows.listed[row] = false
        for (view in list) {
            val known = rows.rowOf(view.id) >= 0
            val row = rows.add(view, now)
            if (!known) {
                limits.clear(row)
                limits.setReportedSlots(row, view.slots)
                if (!first && view.state == UpstreamState.LIVE) rows.state[row] = UpstreamState.WARMING
            }
            if (view.state == UpstreamState.LEAVING) markLeaving(row)
        }
        exchange.assign(list, now)
        for (row in 0 until rows.size) {
            refreshCandidates(row)
            rows.removeIfUnused(row)
        }
    }

    private fun markLeaving(row: Int) {
        rows.state[row] = UpstreamState.LEAVING
        rows.heldLeases[row] = 0
    }

    override fun updateEntries(list: ImmutableList<EntryRef>) {
        val now = now()
        exchange.updateEntries(list, now)
        exchange.assign(views, now)
        for (row in 0 until rows.size) refreshCandidates(row)
    }

    override fun tick() {
        val now = now()
        if (lastTickAt > 0 && now - lastTickAt > settings.leaseLifetime.inWholeMicroseconds) exchange.dropLeases()
        lastTickAt = now
        if (now >= statisticsDueAt) {
            statisticsDueAt = now + STATISTICS_INTERVAL_MICROS
            latencies.tick(now)
            ejection.tick(now)
        }
        exchange.tick(now)
    }

    override fun pauseAutomation(paused: Boolean) {
        ejection.paused = paused
        exchange.paused = paused
    }

    override fun snapshot(): ImmutableList<UpstreamRow> = (0 until rows.size)
        .filter { rows.listed[it] }
        .map { row ->
            val limit = minOf(rows.heldLeases[row], rows.connectionShare[row])
            val id = checkNotNull(rows.id[row])
            UpstreamRow(
                id,
                rows.state[row],
                rows.inFlight(row),
                limit,
                rows.latency[row].microseconds,
                rows.connectionShare[row],
            )
        }
        .toImmutableList()

    private fun refreshCandidates(row: Int) {
        val state = rows.state[row]
        val takesWork = state == UpstreamState.LIVE || state == UpstreamState.WARMING
        val usable = rows.listed[row] && rows.inSubset[row] && takesWork
        picker.usable.set(row, usable)
        picker.withIdleLease.set(row, usable && rows.idleLeases(row) > 0)
    }

    private fun slot(row: Int, leased: Boolean): SlotId {
        val flag = if (leased) LEASED_BIT else 0L
        return SlotId(sequence++ shl SEQUENCE_SHIFT or flag or row.toLong())
    }

    private fun now(): Long = ticker.now().inWholeMicroseconds

    private companion object {
        const val LEASED_BIT = 1L shl 20
        const val ROW_MASK = LEASED_BIT - 1
        const val SEQUENCE_SHIFT = 21
        const val STATISTICS_INTERVAL_MICROS = 100_000L

        /**
         * Time, in median latencies, for which urgent work waits for a lease of a fast upstream before it uses a slow
         * one.
         */
        const val MAX_FAST_WAIT_MEDIANS = 3.0
    }
}
