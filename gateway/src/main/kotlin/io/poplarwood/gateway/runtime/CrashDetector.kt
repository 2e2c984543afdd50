package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.Randomness
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.AbandonedRun
import io.poplarwood.gateway.decision.crash.AbandonedRuns
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds which requests upstreams ended under, and tells the other entries.
 *
 * @param tell sends news of a loss to the other entries
 */
internal class CrashDetector(
    private val crashes: CrashSuspects,
    private val check: LivenessCheck,
    private val random: Randomness,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
    private val tell: (fingerprint: Long, loss: CrashLoss) -> Unit,
) {
    private val abandoned = AbandonedRuns()

    /** Notes that an attempt at [row] of a request with [fingerprint], begun at [since], lost its connection. */
    fun lost(row: UpstreamRow, fingerprint: Long, since: Duration, now: Duration) {
        if (row.availability.state(now) == AvailabilityState.LEAVING) return
        val loss = CrashLoss(random.nextLong(), row.id, since, now, confirmed = false)
        val first = crashes.losses(fingerprint) == 0
        crashes.lost(fingerprint, loss, now)
        // Most connections break for other reasons, so a first loss is told once it is confirmed.
        if (!first) tell(fingerprint, loss)
        scope.launch { settle(row, fingerprint, loss) }
    }

    /** Notes that a request with [fingerprint] ended while [row] still ran it. */
    fun abandoned(row: UpstreamRow, fingerprint: Long, since: Duration, now: Duration) {
        val again = abandoned.add(AbandonedRun(fingerprint, row.id, since, now))
        if (again || crashes.losses(fingerprint) > 0) look(row, now)
    }

    /** Notes that a request with [fingerprint] was answered at [now]; returns the losses that this clears. */
    fun answered(fingerprint: Long, now: Duration): Int {
        abandoned.drop(fingerprint)
        return crashes.answered(fingerprint, now)
    }

    /** Notes that [row] accepted no connection. */
    fun unreachable(row: UpstreamRow, now: Duration) {
        if (abandoned.has(row.id)) look(row, now)
    }

    private fun look(row: UpstreamRow, now: Duration) {
        scope.launch { if (check.hasEnded(row)) endedUnderAbandoned(row, now) }
    }

    private suspend fun settle(row: UpstreamRow, fingerprint: Long, loss: CrashLoss) {
        if (!check.hasEnded(row)) return crashes.withdraw(fingerprint, loss.id)
        if (crashes.confirm(fingerprint, loss.id, ticker.now())) tell(fingerprint, loss.copy(confirmed = true))
        endedUnderAbandoned(row, loss.at)
    }

    private fun endedUnderAbandoned(row: UpstreamRow, at: Duration) {
        for (run in abandoned.take(row.id, at - LONGEST_RUN)) {
            val loss = CrashLoss(random.nextLong(), row.id, run.since, run.at, confirmed = true)
            if (crashes.lost(run.fingerprint, loss, ticker.now())) tell(run.fingerprint, loss)
        }
    }

    private companion object {
        /** An upstream that ends later than this after a request was given up did not end under it. */
        val LONGEST_RUN = 1.seconds
    }
}
