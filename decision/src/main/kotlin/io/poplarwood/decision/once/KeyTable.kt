package io.poplarwood.decision.once

import io.poplarwood.api.outcome.OutcomeKind
import io.poplarwood.api.outcome.RefusalReason
import kotlinx.coroutines.CompletableDeferred

/**
 * Records of the keys that one run of an entry owns. Safe for use by several threads.
 *
 * The record of a request that ran, or may have run, stays until its key's lifetime is over, and a key past its
 * lifetime never runs. Both are judged by the highest clock reading so far, so that a clock set back cannot make a key
 * valid again after its record was removed.
 */
class KeyTable(private val settings: KeyTableSettings = KeyTableSettings()) {
    private class Record(val fingerprint: Long, var issuedMs: Long) {
        val outcome = CompletableDeferred<KeyOutcome>()
        var answerBytes = 0
        var finalOutcome: KeyOutcome? = null
    }

    private val records = LinkedHashMap<String, Record>()
    private val recordsWithAnswer = ArrayDeque<Record>()
    private var answerBytes = 0L
    private var latestClockMs = Long.MIN_VALUE

    val size: Int get() = synchronized(this) { records.size }

    /** Size of the stored responses in bytes. */
    val storedBytes: Long get() = synchronized(this) { answerBytes }

    /**
     * Decides about a request with [key] and opens a record for it when it may run.
     *
     * @param issuedMs time of the key's issue, or of its claim, in milliseconds since the epoch
     * @param fingerprint identifies the request; the use of a key for a different request is an error of the caller
     */
    @Synchronized
    fun open(key: String, issuedMs: Long, fingerprint: Long, nowMs: Long): KeyAdmission {
        latestClockMs = maxOf(latestClockMs, nowMs)
        val known = records[key]
        return when {
            expired(issuedMs) -> refuse(RefusalReason.KEY_EXPIRED)
            known != null && known.fingerprint != fingerprint -> refuse(RefusalReason.MALFORMED)
            known != null -> known.finalOutcome?.let { KeyAdmission.Decided(it) } ?: KeyAdmission.Join(known.outcome)
            records.size >= settings.maxRecords -> refuse(RefusalReason.OVERLOADED)
            else -> {
                records[key] = Record(fingerprint, issuedMs)
                KeyAdmission.Run
            }
        }
    }

    /**
     * Ends the run of [key]. The outcome of a request that ran, or may have run, is kept; otherwise the record is
     * removed, so that the request may run again.
     */
    fun close(key: String, outcome: KeyOutcome) {
        val record: Record
        synchronized(this) {
            record = records[key] ?: return
            if (record.finalOutcome != null) return
            when (outcome) {
                is KeyOutcome.Answered -> store(record, outcome)
                is KeyOutcome.Refused -> when (outcome.reason.kind) {
                    OutcomeKind.NOT_RUN, OutcomeKind.FAILED -> records.remove(key)
                    OutcomeKind.UNKNOWN -> record.finalOutcome = outcome
                }
            }
        }
        record.outcome.complete(record.finalOutcome ?: outcome)
    }

    /** Ends a run of [key] that took place at another entry, which keeps the record. */
    fun release(key: String, outcome: KeyOutcome) {
        val record = synchronized(this) { records.remove(key) } ?: return
        record.outcome.complete(outcome)
    }

    /** Removes records whose keys are past their lifetime. A request in flight keeps its record. */
    @Synchronized
    fun sweep(nowMs: Long) {
        latestClockMs = maxOf(latestClockMs, nowMs)
        val iterator = records.values.iterator()
        while (iterator.hasNext()) {
            val record = iterator.next()
            if (record.finalOutcome == null || !expired(record.issuedMs)) continue
            iterator.remove()
            dropAnswer(record)
            recordsWithAnswer.remove(record)
        }
    }

    /**
     * Whether a key issued at [issuedMs] is past its lifetime, or so far in the future that no entry can have issued
     * it.
     */
    @Synchronized
    fun expired(issuedMs: Long, nowMs: Long): Boolean {
        latestClockMs = maxOf(latestClockMs, nowMs)
        return expired(issuedMs)
    }

    private fun expired(issuedMs: Long): Boolean =
        latestClockMs - issuedMs >= settings.lifetime.inWholeMilliseconds ||
            issuedMs - latestClockMs > settings.maxClockLead.inWholeMilliseconds

    private fun store(record: Record, outcome: KeyOutcome.Answered) {
        val answer = outcome.answer?.takeIf { it.bytes <= StoredResponse.MAX_BYTES }
        if (answer == null) {
            record.finalOutcome = NOT_KEPT
            return
        }
        record.finalOutcome = outcome
        record.answerBytes = answer.bytes
        answerBytes += answer.bytes
        recordsWithAnswer.addLast(record)
        while (answerBytes > settings.maxAnswerBytes) dropAnswer(recordsWithAnswer.removeFirst())
    }

    private fun dropAnswer(record: Record) {
        if (record.answerBytes == 0) return
        answerBytes -= record.answerBytes
        record.answerBytes = 0
        record.finalOutcome = NOT_KEPT
    }

    private fun refuse(reason: RefusalReason) = KeyAdmission.Decided(KeyOutcome.Refused(reason))

    private companion object {
        val NOT_KEPT = KeyOutcome.Refused(RefusalReason.KEY_ANSWER_NOT_KEPT)
    }
}
