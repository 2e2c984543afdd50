package io.poplarwood.entry.forward

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Recent latencies up to the head of the response, by key; thread-safe. */
internal class LatencyWindow {
    private val windows = ConcurrentHashMap<String, Window>()

    fun add(key: String, latency: Duration) = windows.computeIfAbsent(key) { Window() }.add(latency.inWholeNanoseconds)

    /** The 99th percentile of the latest [SIZE] latencies of [key]; null before the first. */
    fun p99(key: String): Duration? = windows[key]?.p99()?.nanoseconds

    private class Window {
        private val latencies = LongArray(SIZE)
        private var count = 0

        @Synchronized
        fun add(nanos: Long) {
            latencies[count % SIZE] = nanos
            count++
        }

        @Synchronized
        fun p99(): Long? {
            val size = minOf(count, SIZE)
            if (size == 0) return null
            val sorted = latencies.copyOf(size).apply { sort() }
            return sorted[(size - 1) * 99 / 100]
        }
    }

    private companion object {
        const val SIZE = 256
    }
}
