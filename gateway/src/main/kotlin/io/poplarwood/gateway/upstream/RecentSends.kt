package io.poplarwood.gateway.upstream

import io.poplarwood.api.id.EntryId
import io.poplarwood.gateway.counter.SlidingWindowCounter
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How many requests and probes were sent to one upstream within [WINDOW], by this entry and by others. */
internal class RecentSends {
    private class Report(val count: Int, val at: Duration)

    private var own: SlidingWindowCounter? = null
    private val reports = HashMap<EntryId, Report>()

    /** Records that this entry sent a request or a probe. */
    fun add(now: Duration) {
        val counter = own ?: SlidingWindowCounter(WINDOW, BUCKETS).also { own = it }
        counter.add(now)
    }

    /** Number of sends of this entry. */
    fun own(now: Duration): Int = own?.sum(now) ?: 0

    /** Sets the number of sends that [entry] reported. */
    fun report(entry: EntryId, count: Int, now: Duration) {
        reports[entry] = Report(count, now)
    }

    /** Number of sends of all entries. The sends of a report are assumed to be spread evenly over the window. */
    fun total(now: Duration): Int {
        reports.values.removeIf { it.count == 0 || now - it.at >= WINDOW }
        return own(now) + ceil(reports.values.sumOf { it.count * (1 - (now - it.at) / WINDOW) }).toInt()
    }

    private companion object {
        /** The time over which the limit of an upstream is judged, and one bucket more. */
        val WINDOW = 4_500.milliseconds
        const val BUCKETS = 9
    }
}
