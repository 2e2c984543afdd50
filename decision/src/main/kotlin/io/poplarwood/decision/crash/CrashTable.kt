package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Suspicions against requests that were running when upstreams were lost, shared by all dispatchers of an entry and
 * merged with reports of its peers. Safe for use by several threads; times are readings of the entry's ticker.
 *
 * After a loss, requests with the same fingerprint do not run at this entry until reports of losses elsewhere must have
 * arrived. After that, they run one at a time and only in this entry's window, so that two entries do not each lose an
 * upstream before they learn of the other's loss. A fingerprint of 0 is unknown and never suspect.
 *
 * @param position position of this entry, which determines its window
 */
class CrashTable(
    private val settings: CrashSettings = CrashSettings(),
    private val position: () -> EntryPosition = { EntryPosition(0, 1) },
) {
    private val suspicions = LinkedHashMap<Long, OutcomeRecorder>()
    private val lastAnsweredAt = LinkedHashMap<Long, Duration>()

    /** Time within which the report of a loss reaches every entry. */
    val propagationTime: Duration get() = settings.propagationTime

    /** Number of fingerprints under suspicion. */
    val size: Int get() = synchronized(this) { suspicions.size }

    /** How a request with [fingerprint] may run at [now]. */
    @Synchronized
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        val suspicion = suspicions[fingerprint] ?: return CrashVerdict.Allow
        dropExpired(fingerprint, suspicion, now)
        if (suspicion.losses.isEmpty()) return CrashVerdict.Allow
        val open = nextTrialAt(suspicion.lastLearnedAt, now)
        val trial = suspicion.trialAt
        return when {
            suspicion.losses.size >= settings.lossesToRefuse ->
                CrashVerdict.Refuse(suspicion.lastLearnedAt + settings.expiry)
            now < open -> CrashVerdict.Wait(open)
            trial != null -> CrashVerdict.Wait(now + settings.propagationTime)
            else -> CrashVerdict.Trial(alone = suspicion.losses.size >= settings.lossesToQuarantine)
        }
    }

    /** Records that a request with [fingerprint] starts. */
    @Synchronized
    fun recordStart(fingerprint: Long, now: Duration) {
        suspicions[fingerprint]?.trialAt = now
    }

    /** Records that a run of [fingerprint] that started at [startedAt] ended without a response and without a loss. */
    @Synchronized
    fun recordEnd(fingerprint: Long, startedAt: Duration) {
        val suspicion = suspicions[fingerprint] ?: return
        if (suspicion.trialAt == startedAt) suspicion.trialAt = null
    }

    /**
     * Records a response of [upstream] to a request that started at [startedAt], and clears that request. A loss of
     * [upstream] that the request outlived, or that the response followed sooner than a process can restart, was not a
     * crash and is dropped.
     *
     * @return true when a suspicion was dropped, so that waiting requests may run
     */
    @Synchronized
    fun recordAnswer(fingerprint: Long, upstream: UpstreamId, startedAt: Duration, now: Duration): Boolean {
        if (fingerprint != 0L) {
            lastAnsweredAt.remove(fingerprint)
            lastAnsweredAt[fingerprint] = now
            evictOldest(lastAnsweredAt)
        }
        if (suspicions.isEmpty()) return false
        var dropped = suspicions.remove(fingerprint) != null
        for (suspicion in suspicions.values) {
            val disproved = suspicion.losses.removeAll { it.upstream == upstream && isDisproved(it, startedAt, now) }
            dropped = dropped || disproved
        }
        suspicions.values.removeAll { it.losses.isEmpty() }
        return dropped
    }

    /**
     * Records that the connection to [upstream] was lost while it ran a request with [fingerprint] since [startedAt].
     *
     * @return true when this loss is new and must be reported to peers
     */
    @Synchronized
    fun recordLoss(fingerprint: Long, upstream: UpstreamId, startedAt: Duration, now: Duration): Boolean {
        if (fingerprint == 0L || answeredRecently(fingerprint, now)) return false
        val suspicion = suspicionOf(fingerprint)
        if (suspicion.trialAt == startedAt) suspicion.trialAt = null
        val knownLoss = suspicion.lossAt(upstream)
        // Requests with one fingerprint that ran at the same time were lost to one crash; a request that started later
        // was lost to another.
        if (knownLoss != null && startedAt <= knownLoss.learnedAt) return false
        suspicion.losses += OutcomeRecorder.Loss(upstream, now, observedHere = true)
        return true
    }

    /** Merges the report of a peer. */
    @Synchronized
    fun merge(report: CrashReport, now: Duration) {
        if (report.fingerprint == 0L || report.ageMs.milliseconds >= settings.expiry) return
        if (answeredRecently(report.fingerprint, now)) return
        val suspicion = suspicionOf(report.fingerprint)
        val knownLoss = suspicion.lossAt(report.upstream)
        // Several peers may report the same loss, and this entry may have observed it on its own connection.
        if (knownLoss != null && now - knownLoss.learnedAt < settings.propagationTime * DUPLICATE_REPORT_FACTOR) return
        suspicion.losses += OutcomeRecorder.Loss(report.upstream, now - report.ageMs.milliseconds, observedHere = false)
    }

    /** All suspicions, for a peer that starts. */
    @Synchronized
    fun snapshot(now: Duration): List<CrashReport> = suspicions.flatMap { (fingerprint, suspicion) ->
        suspicion.losses.map { CrashReport(fingerprint, it.upstream, (now - it.learnedAt).inWholeMilliseconds) }
    }

    /** Earliest time, not before [now], at which this entry may start a trial after a loss learned at [learnedAt]. */
    private fun nextTrialAt(learnedAt: Duration, now: Duration): Duration {
        val (index, count) = position()
        // The first loss reaches all entries within one propagation time, and losses at other entries until then reach
        // this entry within another.
        val earliest = learnedAt + settings.propagationTime * 2
        if (count <= 1 || now < earliest) return maxOf(earliest + settings.trialSpacing * index, now)
        val cycle = settings.trialSpacing * count
        val elapsedCycles = (now - earliest - settings.trialSpacing * index) / cycle
        val start = earliest + settings.trialSpacing * index + cycle * floor(elapsedCycles).coerceAtLeast(0.0)
        return if (now < start + settings.trialWindow) maxOf(start, now) else start + cycle
    }

    /**
     * A request that was answered does not crash every upstream. Without this exemption, each crash would hold up
     * common requests.
     */
    private fun answeredRecently(fingerprint: Long, now: Duration): Boolean {
        val answered = lastAnsweredAt[fingerprint] ?: return false
        return now - answered < settings.expiry
    }

    private fun isDisproved(loss: OutcomeRecorder.Loss, startedAt: Duration, now: Duration) =
        loss.observedHere && (startedAt < loss.learnedAt || now - loss.learnedAt < settings.minRestartTime)

    private fun suspicionOf(fingerprint: Long): OutcomeRecorder {
        val suspicion = suspicions.getOrPut(fingerprint) { OutcomeRecorder() }
        evictOldest(suspicions)
        return suspicion
    }

    private fun evictOldest(map: LinkedHashMap<Long, *>) {
        if (map.size > settings.maxFingerprints) map.remove(map.keys.first())
    }

    private fun dropExpired(fingerprint: Long, suspicion: OutcomeRecorder, now: Duration) {
        suspicion.losses.removeAll { now - it.learnedAt >= settings.expiry }
        if (suspicion.losses.isEmpty()) suspicions.remove(fingerprint)
    }

    private companion object {
        /** Multiple of the propagation time within which all reports of one loss arrive after the first of them. */
        const val DUPLICATE_REPORT_FACTOR = 3
    }
}
