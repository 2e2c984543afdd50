package io.poplarwood.bench.flood

import io.poplarwood.api.outcome.RefusalReason
import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

/** What became of the calls of one class within the measured part of a run. */
class ClassTally {
    private val latencies = Histogram(HIGHEST_MICROS, DIGITS)

    /** Calls that arrived. */
    var offered = 0L

    /** Attempts sent to upstreams. */
    var attempts = 0L

    /** First attempts, and attempts after one that may have run. */
    var firstAttempts = 0L
    var retries = 0L

    /** Calls answered before their deadline. */
    val answered: Long get() = latencies.totalCount

    /** Refusals by reason. */
    val refused = sortedMapOf<RefusalReason, Long>()

    /** Longest time between arrival and refusal. */
    var slowestRefusal: Duration = Duration.ZERO

    fun answered(latency: Duration) {
        latencies.recordValue(latency.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS))
    }

    fun refused(reason: RefusalReason, waited: Duration) {
        refused[reason] = (refused[reason] ?: 0) + 1
        slowestRefusal = maxOf(slowestRefusal, waited)
    }

    /** Latency at [quantile], between 0 and 1, in milliseconds. */
    fun latencyMs(quantile: Double): Double =
        latencies.getValueAtPercentile(quantile * PERCENT).microseconds.toDouble(DurationUnit.MILLISECONDS)

    private companion object {
        const val HIGHEST_MICROS = 60_000_000L
        const val DIGITS = 3
        const val PERCENT = 100.0
    }
}
