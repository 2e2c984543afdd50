package io.poplarwood.entry.metrics

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Statistics of the calls of the last 30 to 60 seconds by service and class, for the status report; thread-safe. */
class RecentCalls(private val ticker: Ticker) {
    private val windows = ConcurrentHashMap<Pair<ServiceName, ClassName>, Window>()

    /** Records a call of duration [took]; [answered] is false when this system refused the call. */
    fun record(service: ServiceName, workClass: ClassName, answered: Boolean, took: Duration) {
        windows.computeIfAbsent(service to workClass) { Window() }.record(ticker.now(), answered, took)
    }

    /** Summary of [workClass]; [targetTime] is the latency of the class's target, null when the target has none. */
    fun summary(service: ServiceName, workClass: ClassName, targetTime: Duration?): RecentSummary =
        windows[service to workClass]?.summary(ticker.now(), targetTime) ?: RecentSummary.NONE

    /** Two halves of [HALF_WINDOW] each; the older half is dropped when the newer one is full. */
    private class Window {
        private var older = WindowHalf()
        private var newer = WindowHalf()
        private var newerSince = Duration.ZERO

        @Synchronized
        fun record(now: Duration, answered: Boolean, took: Duration) {
            rotate(now)
            if (!answered) {
                newer.refused++
                return
            }
            newer.latency.recordValue(took.inWholeMicroseconds.coerceIn(0, MAX_LATENCY_MICROS))
        }

        @Synchronized
        fun summary(now: Duration, targetTime: Duration?): RecentSummary {
            rotate(now)
            val combined = Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            combined.add(older.latency)
            combined.add(newer.latency)
            val refused = older.refused + newer.refused
            val answered = combined.totalCount
            if (answered + refused == 0L) return RecentSummary.NONE
            val withinTarget = targetTime?.let { combined.getCountBetweenValues(0, it.inWholeMicroseconds) }
            return RecentSummary(
                requests = answered + refused,
                refused = refused,
                servedPart = withinTarget?.let { it.toDouble() / (answered + refused) },
                p99Ms = if (answered == 0L) null else combined.getValueAtPercentile(P99) / MICROS_PER_MS,
            )
        }

        private fun rotate(now: Duration) {
            if (now - newerSince < HALF_WINDOW) return
            older = if (now - newerSince < HALF_WINDOW * 2) newer else WindowHalf()
            newer = WindowHalf()
            newerSince = now
        }
    }

    private class WindowHalf {
        val latency = Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        var refused = 0L
    }

    private companion object {
        val HALF_WINDOW = 30.seconds
        const val MAX_LATENCY_MICROS = 600_000_000L
        const val SIGNIFICANT_DIGITS = 2
        const val P99 = 99.0
        const val MICROS_PER_MS = 1_000.0
    }
}
