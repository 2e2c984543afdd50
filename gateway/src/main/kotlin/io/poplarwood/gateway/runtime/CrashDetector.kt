package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.AbandonedAttempt
import io.poplarwood.gateway.decision.crash.AbandonedAttempts
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Detects upstreams that ended while they ran a request, and announces these losses to the other entries.
 *
 * @param announce sends a loss to the other entries
 */
internal class CrashDetector(
    private val crashes: CrashSuspects,
    private val livenessCheck: LivenessCheck,
    private val random: RandomSource,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val announce: (fingerprint: Long, loss: CrashLoss) -> Unit,
) {
    private val abandonedRuns = AbandonedAttempts()
    private var watchedCount = 0

    /** Records that an attempt at [row] of a request with [fingerprint], running since [since], lost its connection. */
    fun linkLost(row: UpstreamRow, fingerprint: Long, since: Duration, now: Duration) {
        if (row.availability.state(now) == AvailabilityState.LEAVING) return
        val loss = CrashLoss(random.nextLong(), row.id, since, now, confirmed = false)
        val firstLoss = crashes.lossCount(fingerprint) == 0
        crashes.recordLoss(fingerprint, loss, now)
        // Most connections break for other reasons, so a first loss is announced only once it is confirmed.
        if (!firstLoss) announce(fingerprint, loss)
        scope.launch { verifyLoss(row, fingerprint, loss) }
    }

    /** Records that a request with [fingerprint] ended while [row] was still running it. */
    fun requestAbandoned(row: UpstreamRow, fingerprint: Long, since: Duration, now: Duration) {
        val run = AbandonedAttempt(fingerprint, row.id, since, now)
        val abandonedBefore = abandonedRuns.add(run)
        val losses = crashes.lossCount(fingerprint)
        if (!abandonedBefore && losses == 0) return
        log.log(GatewayEvent.CRASH_EXPOSED, hex(fingerprint), row.id, "abandoned", losses)
        watch(row, run)
    }

    /** Checks [row] repeatedly, since it may crash some time after [run] was abandoned. */
    private fun watch(row: UpstreamRow, run: AbandonedAttempt) {
        checkAbandonedRuns(row, run.abandonedAt)
        if (watchedCount >= MAX_WATCHED) return
        watchedCount++
        scope.launch {
            try {
                repeat(RECHECKS) {
                    delay(RECHECK_INTERVAL)
                    if (!abandonedRuns.contains(run)) return@launch
                    if (!livenessCheck.isKnownRunning(row) && livenessCheck.hasEnded(row)) {
                        recordAbandonedLosses(row, ticker.now())
                    }
                }
                if (abandonedRuns.contains(run)) logDismissed(run.fingerprint, row, "accepts connections until now")
            } finally {
                watchedCount--
            }
        }
    }

    /** Records that a request with [fingerprint] was answered at [now]; returns the number of losses cleared. */
    fun requestAnswered(fingerprint: Long, now: Duration): Int {
        abandonedRuns.removeByFingerprint(fingerprint)
        return crashes.recordAnswer(fingerprint, now)
    }

    /** Records that [row] accepted no connection. */
    fun connectFailed(row: UpstreamRow, now: Duration) {
        if (abandonedRuns.contains(row.id)) checkAbandonedRuns(row, now)
    }

    private fun checkAbandonedRuns(row: UpstreamRow, now: Duration) {
        scope.launch { if (livenessCheck.hasEnded(row)) recordAbandonedLosses(row, now) }
    }

    private suspend fun verifyLoss(row: UpstreamRow, fingerprint: Long, loss: CrashLoss) {
        if (!livenessCheck.hasEnded(row)) {
            logDismissed(fingerprint, row, "accepts connections")
            return crashes.removeLoss(fingerprint, loss.id)
        }
        if (crashes.confirm(fingerprint, loss.id, ticker.now())) announce(fingerprint, loss.copy(confirmed = true))
        recordAbandonedLosses(row, loss.lostAt)
    }

    private fun recordAbandonedLosses(row: UpstreamRow, at: Duration) {
        for (run in abandonedRuns.removeFor(row.id, at - ABANDONED_LOSS_WINDOW)) {
            val loss = CrashLoss(random.nextLong(), row.id, run.sentAt, run.abandonedAt, confirmed = true)
            if (crashes.recordLoss(run.fingerprint, loss, ticker.now())) announce(run.fingerprint, loss)
        }
    }

    private fun logDismissed(fingerprint: Long, row: UpstreamRow, reason: String) =
        log.log(GatewayEvent.CRASH_DISMISSED, hex(fingerprint), row.id, reason)

    private fun hex(fingerprint: Long) = java.lang.Long.toHexString(fingerprint)

    private companion object {
        /** An upstream that ends later than this after a request was abandoned is not a loss under that request. */
        val ABANDONED_LOSS_WINDOW = 2.seconds

        /** Checks within [ABANDONED_LOSS_WINDOW]; each of them takes about 100 ms itself. */
        val RECHECK_INTERVAL = 500.milliseconds
        const val RECHECKS = 3

        /** Limits the connections that checks open while many callers disconnect. */
        const val MAX_WATCHED = 32
    }
}
