package io.poplarwood.bench.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Counts and times of one class; used from many coroutines. */
internal class LoadStatistics(private val of: LoadClass) {
    private val histogram = ConcurrentHistogram(HIGHEST_MICROS, DIGITS)
    private val sent = AtomicLong()
    private val served = AtomicLong()
    private val inTime = AtomicLong()
    private val wrong = AtomicLong()
    private val refusedTokens = ConcurrentHashMap.newKeySet<String>()
    private val refused = ConcurrentHashMap<String, AtomicLong>()
    private val unknown = ConcurrentHashMap<String, AtomicLong>()
    private val failed = ConcurrentHashMap<String, AtomicLong>()

    fun sent() = sent.incrementAndGet()

    fun served(took: Duration) {
        served.incrementAndGet()
        histogram.recordValue(took.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS))
        if (of.target != null && took <= of.target) inTime.incrementAndGet()
    }

    fun wrong() = wrong.incrementAndGet()

    fun ended(outcome: String, reason: String, token: String) {
        if (outcome == "not-run") refusedTokens += token
        val map = when (outcome) {
            "not-run" -> refused
            "unknown" -> unknown
            else -> failed
        }
        map.getOrPut(reason) { AtomicLong() }.incrementAndGet()
    }

    fun report(): LoadReport {
        val part = if (of.target == null || sent.get() == 0L) null else inTime.get().toDouble() / sent.get()
        return LoadReport(
            name = of.name,
            sent = sent.get(),
            served = served.get(),
            refused = counts(refused),
            unknown = counts(unknown),
            failed = counts(failed),
            wrong = wrong.get(),
            p50Ms = millis(50.0),
            p99Ms = millis(99.0),
            p999Ms = millis(99.9),
            servedInTimePart = part,
            targetMet = part?.let { it >= of.targetPart },
            refusedTokens = refusedTokens.toSet(),
        )
    }

    private fun millis(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private fun counts(map: Map<String, AtomicLong>) = map.mapValues { it.value.get() }.toSortedMap()

    private companion object {
        const val HIGHEST_MICROS = 600_000_000L
        const val DIGITS = 3
        const val MICROS_PER_MILLI = 1_000.0
    }
}
