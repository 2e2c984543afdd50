package io.poplarwood.decision.dispatch

import io.poplarwood.decision.admission.WaitingCall
import io.poplarwood.decision.crash.CrashTable
import io.poplarwood.decision.crash.CrashVerdict
import io.poplarwood.decision.retry.answered
import io.poplarwood.decision.routing.AttemptResult
import kotlin.time.Duration

/** Applies the suspicions of [crashes] to the calls of one dispatcher. */
internal class CrashGuard(private val crashes: CrashTable, private val emit: (Command) -> Unit) {
    /** Least time after a lost connection at which every entry knows of the loss. */
    val settle: Duration get() = crashes.settle

    fun started(row: WaitingCall) = crashes.started(row.call.fingerprint, row.dispatchedAt)

    /** Takes in how an attempt ended; true when calls that were held may run. */
    fun ended(row: WaitingCall, result: AttemptResult, now: Duration): Boolean {
        val upstream = row.tried.last()
        val fingerprint = row.call.fingerprint
        if (result.answered) return crashes.answered(fingerprint, upstream, row.dispatchedAt, now)
        if (result != AttemptResult.CONNECTION_LOST) {
            crashes.ended(fingerprint, row.dispatchedAt)
        } else if (crashes.lost(fingerprint, upstream, row.dispatchedAt, now)) {
            emit(Command.ReportCrash(fingerprint, upstream))
        }
        return false
    }

    /** When [row] may run; null for now, [Duration.INFINITE] for not before its deadline. */
    fun heldUntil(row: WaitingCall, now: Duration): Duration? {
        if (row.call.fingerprint == 0L) return null
        val verdict = crashes.verdict(row.call.fingerprint, now)
        row.alone = verdict is CrashVerdict.Trial && verdict.alone
        return when (verdict) {
            is CrashVerdict.Refuse -> Duration.INFINITE
            is CrashVerdict.Wait -> if (verdict.until >= row.call.deadline) Duration.INFINITE else verdict.until
            else -> null
        }
    }

    /** Time until a request like [row] may run again. */
    fun retryAfter(row: WaitingCall, now: Duration): Duration =
        when (val verdict = crashes.verdict(row.call.fingerprint, now)) {
            is CrashVerdict.Refuse -> verdict.until - now
            is CrashVerdict.Wait -> verdict.until - now
            else -> Duration.ZERO
        }
}
