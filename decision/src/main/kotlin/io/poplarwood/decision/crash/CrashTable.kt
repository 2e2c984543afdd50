package io.poplarwood.decision.crash

import io.poplarwood.api.id.UpstreamId
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Suspicions against requests that were running when upstreams were lost, shared by all dispatchers of an entry and
 * merged with its peers' news. Safe for use from several threads; times are readings of the entry's ticker.
 *
 * After a loss the same kind of request does not run here again until news of losses elsewhere must have arrived, and
 * then one at a time and only in this entry's window, so that two entries do not lose an upstream each before they hear
 * of one another. A fingerprint of 0 is unknown and never suspect.
 *
 * @param position place of this entry, which sets its window
 */
class CrashTable(
    private val settings: CrashSettings = CrashSettings(),
    private val position: () -> EntryPosition = { EntryPosition(0, 1) },
) {
    private val rows = LinkedHashMap<Long, Suspicion>()
    private val answeredAt = LinkedHashMap<Long, Duration>()

    /** Time that news of a loss may take to reach every entry. */
    val settle: Duration get() = settings.settle

    /** Number of fingerprints under suspicion. */
    val size: Int get() = synchronized(this) { rows.size }

    /** How a request with [fingerprint] may run at [now]. */
    @Synchronized
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        val row = rows[fingerprint] ?: return CrashVerdict.Free
        dropExpired(fingerprint, row, now)
        if (row.losses.isEmpty()) return CrashVerdict.Free
        val open = trialFrom(row.lastLearnt, now)
        val trial = row.trialAt
        return when {
            row.losses.size >= settings.refuseLosses -> CrashVerdict.Refuse(row.lastLearnt + settings.expiry)
            now < open -> CrashVerdict.Wait(open)
            trial != null -> CrashVerdict.Wait(now + settings.settle)
            else -> CrashVerdict.Trial(alone = row.losses.size >= settings.quarantineLosses)
        }
    }

    /** Notes that a request with [fingerprint] starts. */
    @Synchronized
    fun started(fingerprint: Long, now: Duration) {
        rows[fingerprint]?.trialAt = now
    }

    /** Notes that a run of [fingerprint] that started at [startedAt] ended without an answer and without a loss. */
    @Synchronized
    fun ended(fingerprint: Long, startedAt: Duration) {
        val row = rows[fingerprint] ?: return
        if (row.trialAt == startedAt) row.trialAt = null
    }

    /**
     * Notes an answer of [upstream] to a request that started at [startedAt]. It clears the request. A connection whose
     * loss it outlived, or followed sooner than a process starts, was not lost to a crash; that suspicion is dropped.
     *
     * @return true when a suspicion was dropped, so that waiting requests may run
     */
    @Synchronized
    fun answered(fingerprint: Long, upstream: UpstreamId, startedAt: Duration, now: Duration): Boolean {
        if (fingerprint != 0L) {
            answeredAt.remove(fingerprint)
            answeredAt[fingerprint] = now
            trim(answeredAt)
        }
        if (rows.isEmpty()) return false
        var dropped = rows.remove(fingerprint) != null
        for (row in rows.values) {
            val disproved = row.losses.removeAll { it.upstream == upstream && disproved(it, startedAt, now) }
            dropped = dropped || disproved
        }
        rows.values.removeAll { it.losses.isEmpty() }
        return dropped
    }

    /**
     * Notes that the connection to [upstream] was lost while it ran a request with [fingerprint] since [startedAt].
     *
     * @return true when this loss is new, so that peers must hear of it
     */
    @Synchronized
    fun lost(fingerprint: Long, upstream: UpstreamId, startedAt: Duration, now: Duration): Boolean {
        if (fingerprint == 0L || answeredLately(fingerprint, now)) return false
        val row = row(fingerprint)
        if (row.trialAt == startedAt) row.trialAt = null
        val known = row.lossAt(upstream)
        // Copies that ran there side by side were lost to one crash; a copy that started later was lost to another.
        if (known != null && startedAt <= known.learntAt) return false
        row.losses += Suspicion.Loss(upstream, now, own = true)
        return true
    }

    /** Merges what a peer tells. */
    @Synchronized
    fun merge(news: CrashNews, now: Duration) {
        if (news.fingerprint == 0L || news.ageMs.milliseconds >= settings.expiry) return
        if (answeredLately(news.fingerprint, now)) return
        val row = row(news.fingerprint)
        val known = row.lossAt(news.upstream)
        // The same loss may be told by several peers, and may be known from an own connection.
        if (known != null && now - known.learntAt < settings.settle * SAME_LOSS_SETTLES) return
        row.losses += Suspicion.Loss(news.upstream, now - news.ageMs.milliseconds, own = false)
    }

    /** All suspicions, for a peer that starts. */
    @Synchronized
    fun snapshot(now: Duration): List<CrashNews> = rows.flatMap { (fingerprint, row) ->
        row.losses.map { CrashNews(fingerprint, it.upstream, (now - it.learntAt).inWholeMilliseconds) }
    }

    /** Earliest time, not before [now], at which this entry may start a trial; [learnt] is when it heard of a loss. */
    private fun trialFrom(learnt: Duration, now: Duration): Duration {
        val (index, count) = position()
        // The first loss reaches all within one settle time, and what others lost until then within another.
        val first = learnt + settings.settle * 2
        if (count <= 1 || now < first) return maxOf(first + settings.spacing * index, now)
        val cycle = settings.spacing * count
        val passed = (now - first - settings.spacing * index) / cycle
        val start = first + settings.spacing * index + cycle * floor(passed).coerceAtLeast(0.0)
        return if (now < start + settings.window) maxOf(start, now) else start + cycle
    }

    /** What was answered does not crash every upstream. Without this, each crash would hold up common requests. */
    private fun answeredLately(fingerprint: Long, now: Duration): Boolean {
        val answered = answeredAt[fingerprint] ?: return false
        return now - answered < settings.expiry
    }

    private fun disproved(loss: Suspicion.Loss, startedAt: Duration, now: Duration) =
        loss.own && (startedAt < loss.learntAt || now - loss.learntAt < settings.quickestRestart)

    private fun row(fingerprint: Long): Suspicion {
        val row = rows.getOrPut(fingerprint) { Suspicion() }
        trim(rows)
        return row
    }

    private fun trim(map: LinkedHashMap<Long, *>) {
        if (map.size > settings.maxFingerprints) map.remove(map.keys.first())
    }

    private fun dropExpired(fingerprint: Long, row: Suspicion, now: Duration) {
        row.losses.removeAll { now - it.learntAt >= settings.expiry }
        if (row.losses.isEmpty()) rows.remove(fingerprint)
    }

    private companion object {
        /** News of one loss comes at most this many settle times after the first of it. */
        const val SAME_LOSS_SETTLES = 3
    }
}
