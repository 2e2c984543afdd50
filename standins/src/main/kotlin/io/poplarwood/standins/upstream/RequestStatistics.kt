package io.poplarwood.standins.upstream

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Counters of one upstream and what it ran by idempotency key. */
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

    /** Records a run of [key] and returns how many there are now; 0 for a request without a key. */
    fun recordRun(key: String?): Int =
        if (key == null) 0 else runsByKey.getOrPut(key) { AtomicInteger() }.incrementAndGet()

    /** Runs by idempotency key. */
    fun runs(): Map<String, Int> = runsByKey.mapValues { it.value.get() }
}
