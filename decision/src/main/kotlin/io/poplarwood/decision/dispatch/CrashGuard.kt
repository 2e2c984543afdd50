package io.poplarwood.decision.dispatch

import io.poplarwood.decision.admission.PendingCall
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.crash.CrashVerdict
import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/** Applies the suspicions in [crashes] to the calls of one dispatcher. */
internal class CrashGuard(private val crashes: CrashTable, private val emit: (Command) -> Unit) {
    /** Time after a lost connection by which every entry knows of the loss. */
    val propagationTime: Duration get() = crashes.propagationTime

    fun recordStart(pending: PendingCall) = crashes.recordStart(pending.call.fingerprint, pending.dispatchedAt)

    /** Records how the latest attempt of [pending] ended; returns true when calls that were held may run. */
    fun recordEnd(pending: PendingCall, result: AttemptResult, now: Duration): Boolean {
        val upstream = pending.tried.last()
        val fingerprint = pending.call.fingerprint
        if (result.answered) return crashes.recordAnswer(fingerprint, upstream, pending.dispatchedAt, now)
        if (result != AttemptResult.CONNECTION_LOST) {
            crashes.recordEnd(fingerprint, pending.dispatchedAt)
        } else if (crashes.recordLoss(fingerprint, upstream, pending.dispatchedAt, now)) {
            emit(Command.ReportCrash(fingerprint, upstream))
        }
        return false
    }

    /** When [pending] may run: null for now, [Duration.INFINITE] when it may not run before its deadline. */
    fun heldUntil(pending: PendingCall, now: Duration): Duration? {
        if (pending.call.fingerprint == 0L) return null
        val verdict = crashes.verdict(pending.call.fingerprint, now)
        pending.alone = verdict is CrashVerdict.Trial && verdict.alone
        return when (verdict) {
            is CrashVerdict.Refuse -> Duration.INFINITE
            is CrashVerdict.Wait -> if (verdict.until >= pending.call.deadline) Duration.INFINITE else verdict.until
            else -> null
        }
    }

    /** Time until a request with the fingerprint of [pending] may run again. */
    fun retryAfter(pending: PendingCall, now: Duration): Duration =
        when (val verdict = crashes.verdict(pending.call.fingerprint, now)) {
            is CrashVerdict.Refuse -> verdict.until - now
            is CrashVerdict.Wait -> verdict.until - now
            else -> Duration.ZERO
        }
}
