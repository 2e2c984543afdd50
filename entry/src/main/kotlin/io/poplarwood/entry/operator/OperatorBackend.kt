package io.poplarwood.entry.operator

import io.poplarwood.api.id.RequestId

/** What the operators' interface asks of an entry. */
interface OperatorBackend {
    /** The documents in force, by service. */
    suspend fun classes(): List<ServiceClasses>

    /** Changes a service's document. */
    suspend fun change(request: OperatorChangeRequest): ChangeOutcome

    /** The last changes, newest first, at most [limit]; null when the store does not answer. */
    suspend fun history(limit: Int): List<HistoryRow>?

    /** What this entry knows about its cell. */
    suspend fun status(): StatusReport

    /** The record of a request that this entry decided, or null when it has none. */
    suspend fun explain(request: RequestId): ExplainReport?

    /** Pauses or resumes automation; null when the change was not taken. */
    suspend fun setAutomationPaused(paused: Boolean, operatorName: String): AutomationState?

    /** Metrics in Prometheus text format. */
    fun metrics(): String

    /** Whether this entry takes new work. */
    fun readiness(): Readiness
}
