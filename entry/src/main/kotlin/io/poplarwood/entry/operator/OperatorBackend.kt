package io.poplarwood.entry.operator

import io.poplarwood.api.id.RequestId

/** Operations of an entry that the operators' API offers. */
interface OperatorBackend {
    /** The documents in force, by service. */
    suspend fun classes(): List<ServiceClasses>

    /** Changes the document of a service. */
    suspend fun change(request: OperatorChangeRequest): ChangeOutcome

    /** The latest changes, newest first, at most [limit]; null when the store does not answer. */
    suspend fun history(limit: Int): List<HistoryRow>?

    /** What this entry knows about its cell. */
    suspend fun status(): StatusReport

    /** The record of a request that this entry handled; null when this entry has none. */
    suspend fun explain(request: RequestId): ExplainReport?

    /** Pauses or resumes automation; null when the change was not accepted. */
    suspend fun setAutomationPaused(paused: Boolean, operatorName: String): AutomationState?

    /** Metrics in Prometheus text format. */
    fun metrics(): String

    /** Whether this entry accepts new work. */
    fun readiness(): Readiness
}
