package io.poplarwood.gateway.runtime

import io.poplarwood.api.random.RandomSource
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.decision.crash.CrashLoss
import io.poplarwood.gateway.decision.crash.CrashSuspects
import io.poplarwood.gateway.decision.crash.CrashVerdict
import io.poplarwood.gateway.decision.crash.OwnLosses
import io.poplarwood.gateway.decision.crash.RequestLoss
import io.poplarwood.gateway.decision.crash.RunningAttempts
import io.poplarwood.gateway.decision.crash.UpstreamFate
import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.peer.CrashGossip
import io.poplarwood.gateway.upstream.AvailabilityState
import io.poplarwood.gateway.upstream.UpstreamRow
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Records each attempt that may have ended its upstream, and what becomes of the upstream, and tells other entries.
 *
 * An attempt counts as a loss when its connection breaks, when its request ends before an answer, or when it lasts for
 * [CrashLoss.MAX_SILENCE]. It does not count while its upstream answers on a connection that is older than the attempt,
 * and is dismissed when it can no longer be running, or when the registration of the upstream should have expired and
 * has not.
 *
 * @param registrationExpiry time after which the registration of an upstream that has ended is gone
 */
internal class CrashDetector(
    private val crashes: CrashSuspects,
    private val gossip: CrashGossip,
    private val livenessCheck: LivenessCheck,
    private val random: RandomSource,
    private val ticker: Ticker,
    private val scope: CoroutineScope,
    private val log: EventLog,
    private val registrationExpiry: Duration,
) {
    private val running = RunningAttempts()
    private val own = OwnLosses(crashes)
    private var watchedCount = 0
    private var announcedAt = -Duration.INFINITE

    /** Number of attempts that are in flight. */
    val runningCount: Int get() = running.size

    init {
        crashes.onDismissed = { fingerprint, loss, reason ->
            val hex = java.lang.Long.toHexString(fingerprint)
            if (loss.fate == UpstreamFate.UNKNOWN) log.log(GatewayEvent.CRASH_DISMISSED, hex, loss.upstream.id, reason)
        }
    }

    /**
     * Whether a request with [fingerprint] may be sent. Where it is open whether such requests end upstreams, one entry
     * sends one at a time.
     */
    fun verdict(fingerprint: Long, now: Duration): CrashVerdict {
        val verdict = crashes.verdict(fingerprint, now)
        if (verdict != CrashVerdict.ADMITTED || !crashes.isAmbiguous(fingerprint)) return verdict
        val maySend = running.count(fingerprint) == 0 && gossip.isKeeper(fingerprint)
        return if (maySend) CrashVerdict.ADMITTED else CrashVerdict.HELD
    }

    /**
     * Whether a second attempt may be sent while a request with [fingerprint] is in flight. With several equal requests
     * in flight, second attempts would multiply the upstreams that such requests may end before anything is known.
     */
    fun maySendSecond(fingerprint: Long): Boolean = running.count(fingerprint) < CrashSuspects.LIMIT

    /** Records that [attempt] of a request with [fingerprint] is sent, whose caller waits until [deadline]. */
    fun attemptStarted(attempt: Attempt, fingerprint: Long, deadline: Duration) {
        val loss = CrashLoss(
            random.nextLong(),
            attempt.row.incarnation,
            attempt.sentAt,
            attempt.sentAt + CrashLoss.MAX_SILENCE,
            UpstreamFate.UNKNOWN,
            endSeen = false,
            runsUntil = deadline,
        )
        attempt.lossId = loss.id
        running.add(fingerprint, loss)
    }

    /** Records that [attempt] got a reply of its upstream, or was never sent. */
    fun attemptReplied(attempt: Attempt, now: Duration) {
        attemptNotNeeded(attempt)
        val openedAt = attempt.connectedAt ?: return
        upstreamAnswered(attempt.row, openedAt, now)
    }

    /** Records that [row] sent at [now], or later, an answer on a connection opened at [openedAt]. */
    fun upstreamAnswered(row: UpstreamRow, openedAt: Duration, now: Duration) {
        running.upstreamAnswered(row.incarnation, openedAt, now)
        crashes.upstreamAnswered(row.incarnation, openedAt, now)
    }

    /** Records that the request of [attempt] was answered. */
    fun attemptNotNeeded(attempt: Attempt) {
        val silent = running.remove(attempt.lossId)?.takeIf { it.exposed } ?: return
        crashes.survived(silent.fingerprint, silent.loss.id)
    }

    /** Records that [attempt] of a request with [fingerprint] lost its connection at [now]. */
    fun linkLost(attempt: Attempt, fingerprint: Long, now: Duration) {
        val loss = running.remove(attempt.lossId)?.loss ?: return
        val row = attempt.row
        if (row.availability.state(now) == AvailabilityState.LEAVING) return
        val lost = loss.copy(lostAt = now, endSeen = true, runsUntil = now, provenAt = -Duration.INFINITE)
        val firstLoss = crashes.lossCount(fingerprint, now) == 0
        crashes.recordLoss(fingerprint, lost, now)
        // Most connections break for other reasons, so a first loss is announced only if its upstream is not running.
        own.add(fingerprint, lost, announced = !firstLoss)
        if (!firstLoss) announce(fingerprint, lost)
        scope.launch {
            when (livenessCheck.check(row)) {
                Liveness.ACCEPTING -> crashes.presumeRunning(fingerprint, lost.id)
                Liveness.ENDED -> upstreamEnded(row)
                Liveness.SILENT -> announceDue { it.fingerprint == fingerprint }
            }
        }
    }

    /** Records that the bytes from the upstream of [attempt] were no answer; it may have ended while it sent them. */
    fun replyGarbled(attempt: Attempt, fingerprint: Long, now: Duration) {
        val loss = running.remove(attempt.lossId)?.loss ?: return
        val lost = loss.copy(lostAt = now, fate = UpstreamFate.PRESUMED_RUNNING, runsUntil = now)
        crashes.recordLoss(fingerprint, lost, now)
    }

    /**
     * Records that a request with [fingerprint] ended at [now] while the upstream of [attempt] was still running it.
     */
    fun requestAbandoned(attempt: Attempt, fingerprint: Long, now: Duration) {
        val silent = running.remove(attempt.lossId) ?: return
        val row = attempt.row
        val again = crashes.hasLosses(fingerprint)
        val loss = silent.loss.copy(lostAt = now, runsUntil = maxOf(silent.loss.runsUntil, now + ABANDONED_RUN_TIME))
        if (silent.exposed) {
            crashes.extendRun(fingerprint, loss.id, loss.runsUntil)
        } else if (crashes.recordLoss(fingerprint, loss, now)) {
            own.add(fingerprint, loss)
        }
        if (!again) return
        log.log(GatewayEvent.CRASH_EXPOSED, hex(fingerprint), row.id, "abandoned", crashes.lossCount(fingerprint, now))
        announceDue { it.fingerprint == fingerprint }
        watch(row, fingerprint, loss)
    }

    /** Checks [row] repeatedly, since it may crash some time after its request was abandoned. */
    private fun watch(row: UpstreamRow, fingerprint: Long, loss: CrashLoss) {
        if (watchedCount >= MAX_WATCHED) return
        watchedCount++
        scope.launch {
            try {
                repeat(CHECKS) {
                    if (crashes.loss(fingerprint, loss.id)?.ended != false) return@launch
                    if (!livenessCheck.isKnownRunning(row)) endIfRefusing(row)
                    delay(RECHECK_INTERVAL)
                }
            } finally {
                watchedCount--
            }
        }
    }

    /** Records that a request with [fingerprint] was answered at [now]; returns the number of losses cleared. */
    fun requestAnswered(fingerprint: Long, now: Duration): Int = crashes.recordAnswer(fingerprint, now)

    /** Records that [row] accepted no connection. */
    fun connectFailed(row: UpstreamRow) {
        if (crashes.hasOpenLosses(row.incarnation)) scope.launch { endIfRefusing(row) }
    }

    private suspend fun endIfRefusing(row: UpstreamRow) {
        if (livenessCheck.check(row) == Liveness.ENDED) upstreamEnded(row)
    }

    /** Records that the incarnation in [row] has ended, unless it announced this. */
    fun upstreamEnded(row: UpstreamRow) {
        val now = ticker.now()
        if (row.availability.state(now) == AvailabilityState.LEAVING) return
        for (lost in crashes.upstreamEnded(row.incarnation, now)) announce(lost.fingerprint, lost.loss)
    }

    /**
     * Records attempts that have become silent, and dismisses losses of upstreams that are still registered.
     *
     * @param registrationsConfirmedAt when the registrations were last known to be the newest
     */
    fun tick(registrationsConfirmedAt: Duration) {
        val now = ticker.now()
        crashes.dismissRegistered(registrationsConfirmedAt, registrationExpiry)
        if (now - announcedAt < ANNOUNCEMENT_INTERVAL) return
        announcedAt = now
        for (silent in running.newlySilent(now)) {
            val isNew = crashes.recordLoss(silent.fingerprint, silent.loss, now)
            if (isNew) own.add(silent.fingerprint, silent.loss)
        }
        gossip.announceSurvived(own.removeClosed())
        announceDue { now - it.loss.sentAt > CrashLoss.MAX_SILENCE }
        gossip.announceOpenLosses(own.takeProven())
    }

    /** Announces the losses of this entry that count, are [due] and have not been announced. */
    private fun announceDue(due: (RequestLoss) -> Boolean) =
        gossip.announceOpenLosses(own.takeUnannounced(ticker.now(), due))

    private fun announce(fingerprint: Long, loss: CrashLoss) = gossip.announceLoss(fingerprint, loss)

    private fun hex(fingerprint: Long) = java.lang.Long.toHexString(fingerprint)

    private companion object {
        /**
         * Losses of which nothing more is known are announced together. With [CrashLoss.MAX_SILENCE], it stays
         * below `stable-s` (3 s).
         */
        val ANNOUNCEMENT_INTERVAL = 500.milliseconds

        /** An upstream may run a request for this long after its caller has left or its time is over. */
        val ABANDONED_RUN_TIME = 2.seconds

        /** Checks within [ABANDONED_RUN_TIME]; each of them takes about 100 ms itself. */
        val RECHECK_INTERVAL = 500.milliseconds
        const val CHECKS = 4

        /** Limits the connections that checks open while many callers disconnect. */
        const val MAX_WATCHED = 32
    }
}
