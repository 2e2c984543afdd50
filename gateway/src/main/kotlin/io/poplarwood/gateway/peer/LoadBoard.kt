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
 * @param wakeNear called when there is something to send within the zone and nothing was before
 * @param wakeFar the same for other zones
 * @param leaves told of upstreams that another entry found to leave
 */
internal class LoadBoard(
    private val upstreams: UpstreamTable,
    private val ticker: Ticker,
    wakeNear: () -> Unit,
    wakeFar: () -> Unit,
    private val leaves: (upstream: String, born: Long, source: String) -> Unit = { _, _, _ -> },
) {
    private val near = LoadBatch(upstreams, wakeNear)
    private val far = LoadBatch(upstreams, wakeFar)
    private val tellers = HashSet<EntryId>()
    private val requests = SlidingCount(RATE_SPAN)
    private val latest = SlidingCount(LATEST_SPAN)

    /** Forgets what [entry] told, which has become silent. */
    fun forget(entry: String) {
        val id = EntryId(entry)
        if (tellers.remove(id)) upstreams.forget(id)
    }

    /** Notes that a request arrived here. */
    fun served() {
        requests.add(ticker.now())
        latest.add(ticker.now())
    }

    /** Requests that arrived here each second, at least 1 when there was any lately; a rise shows within a second. */
    fun requestsPerS(now: Duration): Int =
        maxOf(ceil(requests.sum(now) / RATE_SPAN.toDouble(DurationUnit.SECONDS)).toInt(), latest.sum(now))

    /** Notes that the number of own requests at [row] changed. */
    fun changed(row: UpstreamRow) = note(row, 0)

    /** Notes what [row] told of its slowness. */
    fun slowness(row: UpstreamRow, value: Double, now: Duration) {
        row.noteSlowness(value, now)
        note(row, (value * PERCENT).toInt())
    }

    /** News for entries of the own zone since the last call. */
    fun takeNear(): List<UpstreamLoad> = near.take()

    /** News for entries of other zones since the last call. */
    fun takeFar(): List<UpstreamLoad> = far.take()

    /** All own requests at upstreams, and upstreams that leave. */
    fun whole(): List<UpstreamLoad> {
        val (left, others) = upstreams.all.partition { it.availability.leaving }
        val told = others.filter { it.ownInFlight > 0 } + left.takeLast(MOST_LEAVING)
        return told.map { UpstreamLoad(it.id, it.ownInFlight, 0, it.leavingBorn) }
    }

    /** Takes in news of [entry]; with [whole], it has nothing at upstreams that are not named. */
    fun receive(entry: String, load: List<UpstreamLoad>, whole: Boolean) {
        val id = EntryId(entry)
        val now = ticker.now()
        if (whole && tellers.remove(id)) upstreams.forget(id)
        if (load.isNotEmpty()) tellers += id
        for (news in load) {
            news.leavingBorn?.let { leaves(news.upstream, it, entry) }
            val row = upstreams[news.upstream] ?: continue
            row.setOther(id, news.inFlight)
            if (news.slowness > 0) row.noteSlowness(news.slowness / PERCENT, now)
        }
    }

    private fun note(row: UpstreamRow, slowness: Int) {
        near.note(row.id, slowness)
        far.note(row.id, slowness)
    }

    private companion object {
        val RATE_SPAN = 4.seconds
        val LATEST_SPAN = 1.seconds
        const val PERCENT = 100.0

        /** A greeting has room for so many upstreams that leave; the registrations of others tell soon. */
        const val MOST_LEAVING = 24
    }
}
