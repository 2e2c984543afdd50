package io.poplarwood.decision.routing

import io.poplarwood.api.id.EntryRef
import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.api.work.Rank
import io.poplarwood.decision.limits.ConcurrencyLimits
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration.Companion.microseconds

/**
 * The shipped router: slot leases that move to the backlog, and dispatch on decaying evidence where none is free.
 *
 * @param send sends a message to a peer; must not call back into this router
 */
class SlotRouter(
    private val self: EntryRef,
    private val settings: RouterSettings,
    private val ticker: Ticker,
    random: Randomness,
    send: (EntryRef, SlotMessage) -> Unit,
) : Router {
    private val rows = UpstreamTable(settings.zone)
    private val limits = ConcurrencyLimits()
    private val evidence = LatencyStatistics(rows)
    private val ejection = Ejection(rows, evidence, settings.ramp.inWholeMicroseconds, ::refresh)
    private val picker = SlotPicker(rows, evidence, ejection, random)
    private val budget = ShedBudget(settings.shedsPerRequest)
    private val wants = LeaseRequests(settings.zone, settings.wantBytesPerSecond, random, send)
    private val exchange =
        LeaseExchange(self, settings, rows, limits, evidence, ejection, picker, wants, send, ::refresh)
    private val intake = AttemptObserver(rows, limits, evidence, picker, budget, ::refresh)
    private var views: ImmutableList<UpstreamView> = emptyList<UpstreamView>().toImmutableList()
    private var topWaiting = Rank.entries.size
    private var urgentSince = 0L
    private var sequence = 0L
    private var evidenceAt = 0L
    private var tickedAt = 0L

    override fun reserve(request: RouteRequest): Reservation {
        if (picker.usable.size == 0) return Reservation.NoUpstream
        val now = now()
        picker.begin(request)
        val row = choose(request, now)
        if (row < 0) return Reservation.Full
        val leased = row in picker.withLease
        if (leased) rows.leased[row]++ else rows.optimistic[row]++
        if (request.alone) rows.alone[row] = true
        budget.granted()
        refresh(row)
        return Reservation.Granted(slot(row, leased), checkNotNull(rows.id[row]), picker.considered)
    }

    /** A call waits for a lease beyond the budget of sheds, except where wants are too few to bring one. */
    private fun mustWait(rank: Rank, now: Long): Boolean =
        !exchange.settling(now) && !budget.allows(rank) && !wants.exhausted(now)

    private fun choose(request: RouteRequest, now: Long): Int {
        val rank = request.rank
        val patient = rank == Rank.URGENT && !waitedLong(now)
        val lease = picker.lease(rank, request.alone, !patient, now)
        if (lease >= 0 || mustWait(rank, now)) return lease
        return picker.withoutLease(request.alone, now)
    }

    private fun waitedLong(now: Long) = urgentSince > 0 && now - urgentSince > evidence.median * PATIENCE

    override fun release(slot: SlotId, evidence: AttemptEvidence) {
        val row = (slot.value and ROW_MASK).toInt()
        val leased = slot.value and LEASED_BIT != 0L
        if (leased) rows.leased[row]-- else rows.optimistic[row]--
        if (rows.inFlight(row) == 0) rows.alone[row] = false
        val now = now()
        intake.take(row, leased, evidence, now)
        refresh(row)
        exchange.serve(row, topWaiting, now)
        rows.removeIfDone(row)
    }

    override fun backlog(waiting: IntArray) {
        val now = now()
        topWaiting = waiting.indexOfFirst { it > 0 }.let { if (it < 0) Rank.entries.size else it }
        if (topWaiting != Rank.URGENT.ordinal) {
            urgentSince = 0
        } else if (urgentSince == 0L) {
            urgentSince = now
        }
        exchange.ask(waiting, now)
    }

    override fun receive(from: EntryRef, message: SlotMessage) = exchange.receive(from, message, topWaiting, now())

    override fun upstreams(list: ImmutableList<UpstreamView>) {
        val now = now()
        val first = views.isEmpty()
        views = list
        for (row in 0 until rows.size) rows.listed[row] = false
        for (view in list) {
            val known = rows.rowOf(view.id) >= 0
            val row = rows.add(view, now)
            if (!known) {
                limits.clear(row)
                limits.report(row, view.slots)
                if (!first && view.state == UpstreamState.LIVE) rows.state[row] = UpstreamState.WARMING
            }
            if (view.state == UpstreamState.LEAVING) leave(row)
        }
        exchange.assign(list, now)
        for (row in 0 until rows.size) {
            refresh(row)
            rows.removeIfDone(row)
        }
    }

    private fun leave(row: Int) {
        rows.state[row] = UpstreamState.LEAVING
        rows.held[row] = 0
    }

    override fun entries(list: ImmutableList<EntryRef>) {
        val now = now()
        exchange.entries(list, now)
        exchange.assign(views, now)
        for (row in 0 until rows.size) refresh(row)
    }

    override fun tick() {
        val now = now()
        if (tickedAt > 0 && now - tickedAt > settings.leaseLife.inWholeMicroseconds) exchange.forgetLeases()
        tickedAt = now
        if (now >= evidenceAt) {
            evidenceAt = now + EVIDENCE_MICROS
            evidence.tick(now)
            ejection.tick(now)
        }
        exchange.tick(now)
    }

    override fun pauseAutomation(paused: Boolean) {
        ejection.paused = paused
        exchange.paused = paused
    }

    override fun table(): ImmutableList<UpstreamRow> = (0 until rows.size)
        .filter { rows.listed[it] }
        .map { row ->
            val limit = minOf(rows.held[row], rows.share[row])
            val id = checkNotNull(rows.id[row])
            UpstreamRow(id, rows.state[row], rows.inFlight(row), limit, rows.latency[row].microseconds, rows.share[row])
        }
        .toImmutableList()

    private fun refresh(row: Int) {
        val state = rows.state[row]
        val takesWork = state == UpstreamState.LIVE || state == UpstreamState.WARMING
        val usable = rows.listed[row] && rows.member[row] && takesWork
        picker.usable.set(row, usable)
        picker.withLease.set(row, usable && rows.idle(row) > 0)
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
        const val EVIDENCE_MICROS = 100_000L

        /** Median latencies that urgent work waits for a lease of a fast upstream before it takes a slow one. */
        const val PATIENCE = 3.0
    }
}
