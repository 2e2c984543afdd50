package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The attempts of this entry that are in flight, by the fingerprint of their request, oldest first. */
internal class RunningAttempts {
    /**
     * @property loss the attempt as a loss, in case that it turns out to be one
     * @property exposed whether [loss] has been recorded
     */
    class Running(val fingerprint: Long, val loss: CrashLoss) {
        var exposed: Boolean = false
    }

    private val running = LinkedHashMap<Long, Running>()
    private val countByFingerprint = HashMap<Long, Int>()

    fun add(fingerprint: Long, loss: CrashLoss) {
        running[loss.id] = Running(fingerprint, loss)
        countByFingerprint.merge(fingerprint, 1, Int::plus)
    }

    /** Removes and returns the attempt with the loss [id]. */
    fun remove(id: Long): Running? {
        val attempt = running.remove(id) ?: return null
        countByFingerprint.computeIfPresent(attempt.fingerprint) { _, count -> (count - 1).takeIf { it > 0 } }
        return attempt
    }

    /** Number of attempts in flight of requests with [fingerprint]. */
    fun count(fingerprint: Long): Int = countByFingerprint[fingerprint] ?: 0

    /** The attempts that have become silent for [MAX_SILENCE] at [now] since the last call. */
    fun newlySilent(now: Duration): List<Running> {
        if (running.isEmpty()) return emptyList()
        val silent = running.values.takeWhile { now - it.loss.sentAt > MAX_SILENCE }.filter { !it.exposed }
        silent.forEach { it.exposed = true }
        return silent
    }

    companion object {
        /**
         * An attempt that is in flight for longer counts as a loss: its upstream may have ended silently, which every
         * entry has to know `stable-s` (3 s) after the end.
         */
        val MAX_SILENCE: Duration = 2.seconds
    }
}
