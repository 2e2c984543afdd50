package io.poplarwood.standins.upstream

import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.sync.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Limits the requests in flight of one upstream to its slots, and keeps past in-flight counts for delayed reports. */
internal class SlotLimiter(private val slots: Int, private val maxQueued: Int, private val ticker: Ticker) {
    private val semaphore = Semaphore(slots)
    private val queued = AtomicInteger()
    private val history = ArrayDeque<Sample>()
    private var running = 0

    var maxInFlight = 0
        private set

    val inFlight: Int get() = synchronized(history) { running }

    /** Acquires a slot, suspending while the request is queued; returns false when the request is shed. */
    suspend fun acquire(): Boolean {
        if (!semaphore.tryAcquire() && !waitForSlot()) return false
        recordChange(1)
        return true
    }

    fun release() {
        recordChange(-1)
        semaphore.release()
    }

    /** Number of requests in flight [lag] ago. */
    fun inFlight(lag: Duration): Int = synchronized(history) {
        if (lag == Duration.ZERO) return running
        val cutoff = ticker.now() - lag
        history.lastOrNull { it.takenAt <= cutoff }?.running ?: 0
    }

    private suspend fun waitForSlot(): Boolean {
        if (queued.incrementAndGet() > maxQueued) {
            queued.decrementAndGet()
            return false
        }
        try {
            semaphore.acquire()
        } finally {
            queued.decrementAndGet()
        }
        return true
    }

    private fun recordChange(change: Int) = synchronized(history) {
        running += change
        maxInFlight = maxOf(maxInFlight, running)
        history.addLast(Sample(ticker.now(), running))
        if (history.size > MAX_SAMPLES) history.removeFirst()
    }

    private class Sample(val takenAt: Duration, val running: Int)

    private companion object {
        const val MAX_SAMPLES = 4_096
    }
}
