package io.poplarwood.standins.upstream

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Request counters of one upstream, and the number of runs per idempotency key. */
internal class RequestStatistics {
    val started = AtomicLong()
    val completed = AtomicLong()
    val shed = AtomicLong()
    val drained = AtomicLong()
    val cancelled = AtomicLong()
    val cutUploads = AtomicLong()
    val deadlines = AtomicLong()
    val probes = AtomicLong()
    val crashes = AtomicLong()
    private val runsByKey = ConcurrentHashMap<String, AtomicInteger>()

    /** Counts a run of the idempotency key [key] and returns the new count; 0 for a request without a key. */
    fun recordRun(key: String?): Int =
        if (key == null) 0 else runsByKey.getOrPut(key) { AtomicInteger() }.incrementAndGet()

    /** Number of runs per idempotency key. */
    fun runs(): Map<String, Int> = runsByKey.mapValues { it.value.get() }
}
