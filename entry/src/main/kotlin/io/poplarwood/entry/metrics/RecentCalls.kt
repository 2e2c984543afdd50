package io.poplarwood.entry.metrics

import io.poplarwood.api.id.ClassName
import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.time.Ticker
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Calls of the last 30 to 60 seconds by class, for `status`. Safe for use from several threads. */
class RecentCalls(private val ticker: Ticker) {
    private val windows = ConcurrentHashMap<Pair<ServiceName, ClassName>, Window>()

    /** Counts a call that took [took]; [answered] is false for one that the system refused. */
    fun record(service: ServiceName, workClass: ClassName, answered: Boolean, took: Duration) {
        windows.computeIfAbsent(service to workClass) { Window() }.record(ticker.now(), answered, took)
    }

    /** What is known of [workClass]; [within] is the target's time. */
    fun summary(service: ServiceName, workClass: ClassName, within: Duration?): RecentSummary =
        windows[service to workClass]?.summary(ticker.now(), within) ?: RecentSummary.NONE

    /** Two halves; the older one is dropped when the newer one is full. */
    private class Window {
        private var older = Half()
        private var newer = Half()
        private var newerSince = Duration.ZERO

        @Synchronized
        fun record(now: Duration, answered: Boolean, took: Duration) {
            turn(now)
            if (!answered) {
                newer.refused++
                return
            }
            newer.latency.recordValue(took.inWholeMicroseconds.coerceIn(0, HIGHEST_MICROS))
        }

        @Synchronized
        fun summary(now: Duration, within: Duration?): RecentSummary {
            turn(now)
            val all = Histogram(HIGHEST_MICROS, DIGITS)
            all.add(older.latency)
            all.add(newer.latency)
            val refused = older.refused + newer.refused
            val answered = all.totalCount
            if (answered + refused == 0L) return RecentSummary.NONE
            val inTime = within?.let { all.getCountBetweenValues(0, it.inWholeMicroseconds) }
            return RecentSummary(
                requests = answered + refused,
                refused = refused,
                servedPart = inTime?.let { it.toDouble() / (answered + refused) },
                p99Ms = if (answered == 0L) null else all.getValueAtPercentile(P99) / MICROS_PER_MS,
            )
        }

        private fun turn(now: Duration) {
            if (now - newerSince < HALF_WINDOW) return
            older = if (now - newerSince < HALF_WINDOW * 2) newer else Half()
            newer = Half()
            newerSince = now
        }
    }

    private class Half {
        val latency = Histogram(HIGHEST_MICROS, DIGITS)
        var refused = 0L
    }

    private companion object {
        val HALF_WINDOW = 30.seconds
        const val HIGHEST_MICROS = 600_000_000L
        const val DIGITS = 2
        const val P99 = 99.0
        const val MICROS_PER_MS = 1_000.0
    }
}
