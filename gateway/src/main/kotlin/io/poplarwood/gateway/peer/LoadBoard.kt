package io.poplarwood.gateway.peer

import io.poplarwood.api.id.EntryId
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.SlidingCount
import io.poplarwood.gateway.upstream.UpstreamRow
import io.poplarwood.gateway.upstream.UpstreamTable
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What entries tell each other of the load of upstreams: how many requests each has where, and how slow upstreams are.
 * Entries of the same zone, which share their zone's upstreams first, are told sooner than those of other zones.
 *
 * @param onNearPending called when there is something to send within the zone and nothing was before
 * @param onFarPending the same for other zones
 * @param onLeaving told of upstreams that another entry found to leave
 */
internal class LoadBoard(
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    onNearPending: () -> Unit,
    onFarPending: () -> Unit,
    private val onLeaving: (upstream: String, born: Long, source: String) -> Unit = { _, _, _ -> },
) {
    private val near = PendingLoadUpdates(upstreams, onNearPending)
    private val far = PendingLoadUpdates(upstreams, onFarPending)
    private val reporters = HashSet<EntryId>()
    private val requests = SlidingCount(RATE_WINDOW)
    private val burst = SlidingCount(BURST_WINDOW)

    /** Forgets what [entry] told, which has become silent. */
    fun forget(entry: String) {
        val id = EntryId(entry)
        if (reporters.remove(id)) upstreams.forget(id)
    }

    /** Notes that a request arrived here. */
    fun served() {
        requests.add(ticker.now())
        burst.add(ticker.now())
    }

    /** Requests that arrived here each second, at least 1 when there was any lately; a rise shows within a second. */
    fun requestsPerS(now: Duration): Int =
        maxOf(ceil(requests.sum(now) / RATE_WINDOW.toDouble(DurationUnit.SECONDS)).toInt(), burst.sum(now))

    /** Notes that the number of own requests at [row] changed. */
    fun changed(row: UpstreamRow) = addUpdate(row, 0)

    /** Notes what [row] told of its slowness. */
    fun slowness(row: UpstreamRow, value: Double, now: Duration) {
        row.noteSlowness(value, now)
        addUpdate(row, (value * PERCENT).toInt())
    }

    /** News for entries of the own zone since the last call. */
    fun takeNear(): List<UpstreamLoad> = near.drain()

    /** News for entries of other zones since the last call. */
    fun takeFar(): List<UpstreamLoad> = far.drain()

    /** All own requests at upstreams, and upstreams that leave. */
    fun fullState(): List<UpstreamLoad> {
        val (leaving, others) = upstreams.all.partition { it.availability.leaving }
        val reported = others.filter { it.ownInFlight > 0 } + leaving.takeLast(MAX_LEAVING)
        return reported.map { UpstreamLoad(it.id, it.ownInFlight, 0, it.leavingBorn) }
    }

    /** Takes in news of [entry]; with [isFullState], it has nothing at upstreams that are not named. */
    fun receive(entry: String, load: List<UpstreamLoad>, isFullState: Boolean) {
        val id = EntryId(entry)
        val now = ticker.now()
        if (isFullState && reporters.remove(id)) upstreams.forget(id)
        if (load.isNotEmpty()) reporters += id
        for (update in load) {
            update.leavingBorn?.let { onLeaving(update.upstream, it, entry) }
            val row = upstreams[update.upstream] ?: continue
            row.setOther(id, update.inFlight)
            if (update.slowness > 0) row.noteSlowness(update.slowness / PERCENT, now)
        }
    }

    private fun addUpdate(row: UpstreamRow, slowness: Int) {
        near.add(row.id, slowness)
        far.add(row.id, slowness)
    }

    private companion object {
        val RATE_WINDOW = 4.seconds
        val BURST_WINDOW = 1.seconds
        const val PERCENT = 100.0

        /** A greeting has room for so many upstreams that leave; the registrations of others tell soon. */
        const val MAX_LEAVING = 24
    }
}
