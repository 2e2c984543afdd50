package io.poplarwood.gateway.peer

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.counter.SlidingWindowCounter
import io.poplarwood.gateway.upstream.LimitObservation
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import java.util.TreeSet
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Exchanges the load of upstreams between entries: the in-flight requests of each entry and the slowness of each
 * upstream. Entries of the same zone receive updates sooner than those of other zones, since they share the upstreams
 * of their zone first.
 *
 * @param self name of this entry
 * @param onNearPending called when the first update for the own zone is pending
 * @param onFarPending called when the first update for other zones is pending
 * @param onLeaving called for each upstream that another entry found to be draining; `born` is the start of the
 * incarnation in milliseconds since the epoch
 * @param onLimit called with the limit of an upstream that another entry observed
 */
internal class LoadGossip(
    self: String,
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    onNearPending: () -> Unit,
    onFarPending: () -> Unit,
    private val onLeaving: (upstream: String, born: Long, source: String) -> Unit = { _, _, _ -> },
    private val onLimit: (row: UpstreamRow, observation: LimitObservation, source: String) -> Unit = { _, _, _ -> },
) {
    private val near = PendingLoadUpdates(upstreams, onNearPending)
    private val far = PendingLoadUpdates(upstreams, onFarPending)
    private val parts = LoadParts(self)

    /** Ids of the upstreams at which each other entry has requests, as it reported. */
    private val reported = HashMap<EntryId, TreeSet<String>>()
    private var nextLimitedIndex = 0
    private val requests = SlidingWindowCounter(RATE_WINDOW)
    private val burst = SlidingWindowCounter(BURST_WINDOW)

    /** Removes the in-flight counts that [entry] reported, after it became silent. */
    fun forget(entry: String) {
        val id = EntryId(entry)
        reported.remove(id)?.forEach { upstreams[it]?.setInFlightOf(id, 0) }
    }

    /** Counts a request that arrived at this entry. */
    fun countRequest() {
        requests.add(ticker.now())
        burst.add(ticker.now())
    }

    /**
     * Requests per second that arrive at this entry, at least 1 when there was any within [RATE_WINDOW]. An increase
     * shows within [BURST_WINDOW].
     */
    fun requestsPerS(now: Duration): Int =
        maxOf(ceil(requests.sum(now) / RATE_WINDOW.toDouble(DurationUnit.SECONDS)).toInt(), burst.sum(now))

    /** Schedules an update after the in-flight requests of this entry at [row] changed. */
    fun scheduleUpdate(row: UpstreamRow) = addUpdate(row, 0)

    /** Records the slowness that [row] reported, as a factor of the usual time, and schedules an update. */
    fun recordSlowness(row: UpstreamRow, value: Double, now: Duration) {
        row.recordSlowness(value, now)
        addUpdate(row, (value * PERCENT).toInt())
    }

    /** Drains the updates for entries of the own zone. */
    fun drainOwnZone(): List<UpstreamLoad> = near.drain(ticker.now())

    /** Drains the updates for entries of other zones. */
    fun drainOtherZones(): List<UpstreamLoad> = far.drain(ticker.now())

    /**
     * What a heartbeat reports: requests of this entry at upstreams, as many as fit, the draining upstreams and, in
     * rotation, upstreams with a limit.
     *
     * @param heartbeatRoom bytes that the heartbeat has left
     */
    fun heartbeatLoad(heartbeatRoom: Int): HeartbeatLoad {
        val now = ticker.now()
        val (leaving, others) = upstreams.all.partition { it.availability.announcedDraining }
        val limited = nextLimited(others.filter { it.limit.current != null })
        val notices = (limited + leaving.takeLast(MAX_LEAVING)).map {
            val limit = if (it in limited) LimitUpdate.of(it, now) else null
            UpstreamLoad(it.id, it.ownInFlight, 0, it.drainingIncarnation, limit)
        }
        return parts.next(upstreams.all.filter { it.ownInFlight > 0 }, notices, heartbeatRoom)
    }

    private fun nextLimited(rows: List<UpstreamRow>): Set<UpstreamRow> {
        if (rows.size <= MAX_LIMITED) return rows.toSet()
        val start = nextLimitedIndex % rows.size
        nextLimitedIndex = start + MAX_LIMITED
        return List(MAX_LIMITED) { rows[(start + it) % rows.size] }.toSet()
    }

    /** Merges changes of the [load] that [entry] reported. */
    fun receive(entry: String, load: List<UpstreamLoad>) {
        val id = EntryId(entry)
        val now = ticker.now()
        for (update in load) {
            update.leavingBorn?.let { onLeaving(update.upstream, it, entry) }
            setInFlight(id, update.upstream, update.inFlight)
            val row = upstreams[update.upstream] ?: continue
            update.limit?.takeIf { it.born == row.record.startMs }?.let { receiveLimit(row, id, it, now) }
            if (update.slowness > 0) row.recordSlowness(update.slowness / PERCENT, now)
        }
    }

    /** Merges a [part] of the load that [entry] reported: it has no requests at others that the part is whole for. */
    fun receive(entry: String, part: LoadPart) {
        val id = EntryId(entry)
        val through = part.through
        val covered = reported[id]?.tailSet(part.after, false)?.takeWhile { through == null || it <= through }.orEmpty()
        for (upstream in covered) if (upstream !in part.inFlight) setInFlight(id, upstream, 0)
        for ((upstream, count) in part.inFlight) setInFlight(id, upstream, count)
        receive(entry, part.notices)
    }

    private fun setInFlight(entry: EntryId, upstream: String, count: Int) {
        upstreams[upstream]?.setInFlightOf(entry, count)
        val ids = reported.getOrPut(entry) { TreeSet() }
        if (count > 0) ids += upstream else ids -= upstream
    }

    private fun receiveLimit(row: UpstreamRow, entry: EntryId, update: LimitUpdate, now: Duration) {
        row.recentSends.report(entry, update.recentSends, now)
        onLimit(row, update.toObservation(now), entry.value)
    }

    private fun addUpdate(row: UpstreamRow, slowness: Int) {
        near.add(row.id, slowness)
        far.add(row.id, slowness)
    }

    private companion object {
        val RATE_WINDOW = 4.seconds
        val BURST_WINDOW = 1.seconds
        const val PERCENT = 100.0

        /** Draining upstreams per heartbeat; for others the change of their registration follows soon. */
        const val MAX_LEAVING = 24

        /** Upstreams with a limit per heartbeat. */
        const val MAX_LIMITED = 24
    }
}
