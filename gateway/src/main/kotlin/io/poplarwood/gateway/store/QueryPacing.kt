package io.poplarwood.gateway.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Spreads the queries of entries whose data is stale over time, so that all entries together stay below a rate.
 *
 * @param entries number of entries
 * @param takesCallers whether this entry takes callers; such entries query before the others
 * @param storeAnswers whether the store answered any entry lately
 * @param readsPerSecond read calls per second that all entries together may make
 */
internal class QueryPacing(
    private val entries: Int,
    private val takesCallers: Boolean,
    private val storeAnswers: Boolean,
    private val readsPerSecond: Double,
) {
    /** Time over which the queries are spread while the store answers nobody. */
    val outagePeriod: Duration get() = OUTAGE_INTERVAL * entries

    /** Time over which the queries are spread now. */
    val period: Duration
        get() = if (storeAnswers) {
            minOf((QUERIES_PER_ENTRY * entries / (readsPerSecond * SHARE_OF_READS)).seconds, outagePeriod)
        } else {
            outagePeriod
        }

    /** Time until the query of this entry, for a random [draw] from 0 until 1. */
    fun delay(draw: Double): Duration = when {
        !storeAnswers -> outagePeriod * draw
        takesCallers -> period * (FIRST_PART * draw)
        else -> period * (FIRST_PART + (1 - FIRST_PART) * draw)
    }

    private companion object {
        /** In an outage a stale entry waits about this long, for each entry that there is, between two queries. */
        val OUTAGE_INTERVAL = 60.milliseconds

        /** An entry queries the desired state and the registrations. */
        const val QUERIES_PER_ENTRY = 2

        /** The rest is left for starts, followers and registrations; all entries have asked within a second. */
        const val SHARE_OF_READS = 0.05

        /** Part of the period in which the entries that take callers query. */
        const val FIRST_PART = 0.25
    }
}
