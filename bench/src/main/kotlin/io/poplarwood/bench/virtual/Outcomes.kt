package io.poplarwood.bench.virtual

import io.poplarwood.api.work.Rank
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Latencies and counts of the requests that arrived within the measured part of a run. */
class Outcomes {
    private val latencies = Rank.entries.map { Histogram(HIGHEST_MICROS, DIGITS) }

    /** Requests that arrived. */
    var requests: Long = 0

    /** Attempts sent to upstreams for them. */
    var attempts: Long = 0

    /** Attempts that an upstream shed. */
    var sheds: Long = 0

    /** Requests whose last attempt was answered with an error. */
    var failed: Long = 0

    /** Requests that no upstream served before their deadline; counted in [failed] too. */
    var timeouts: Long = 0
        private set

    /** Records an answered request. */
    fun answered(rank: Rank, latency: Duration) {
        latencies[rank.ordinal].recordValue(latency.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS))
    }

    /** Records a request that ended unserved after [deadline], as a failure and with that latency. */
    fun timedOut(rank: Rank, deadline: Duration) {
        failed++
        timeouts++
        answered(rank, deadline)
    }

    /** Latency at [quantile], between 0 and 1, of answered requests of [rank]. */
    fun latency(rank: Rank, quantile: Double): Duration =
        latencies[rank.ordinal].getValueAtPercentile(quantile * PERCENT).microseconds

    /** Answered requests of [rank]. */
    fun answeredCount(rank: Rank): Long = latencies[rank.ordinal].totalCount

    /** Attempts beyond the first per request. */
    val extraAttempts: Double get() = if (requests == 0L) 0.0 else (attempts - requests).toDouble() / requests

    private companion object {
        const val HIGHEST_MICROS = 60_000_000L
        const val DIGITS = 3
        const val PERCENT = 100.0
    }
}
