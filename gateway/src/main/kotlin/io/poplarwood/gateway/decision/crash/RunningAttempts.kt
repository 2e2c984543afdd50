package io.poplarwood.gateway.decision.crash

import io.poplarwood.gateway.upstream.IncarnationId
import kotlin.time.Duration

/** The attempts of this entry that are in flight, oldest first. */
internal class RunningAttempts {
    /**
     * @property loss the attempt as a loss, in case that it turns out to be one
     * @property exposed whether [loss] has been recorded
     */
    class Running(val fingerprint: Long, loss: CrashLoss) {
        var loss: CrashLoss = loss
            internal set
        var exposed: Boolean = false
            internal set
    }

    private val running = LinkedHashMap<Long, Running>()
    private val countByFingerprint = HashMap<Long, Int>()

    /** Number of attempts in flight. */
    val size: Int get() = running.size

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

    /**
     * Records that the incarnation [upstream] sent at [now], or later, an answer on a connection opened at [openedAt]:
     * it ran from then until [now].
     */
    fun upstreamAnswered(upstream: IncarnationId, openedAt: Duration, now: Duration) {
        for (attempt in running.values) {
            val loss = attempt.loss
            if (loss.upstream == upstream && openedAt <= loss.sentAt) attempt.loss = loss.provenRunning(now)
        }
    }

    /** The attempts whose upstream has become silent for [CrashLoss.MAX_SILENCE] at [now], each once. */
    fun newlySilent(now: Duration): List<Running> {
        if (running.isEmpty()) return emptyList()
        val silent = running.values.takeWhile { now - it.loss.sentAt > CrashLoss.MAX_SILENCE }
            .filter { !it.exposed && it.loss.counts(now) }
        silent.forEach { it.exposed = true }
        return silent
    }
}
