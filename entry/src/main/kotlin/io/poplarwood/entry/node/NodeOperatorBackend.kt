package io.poplarwood.entry.node

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.id.RequestId
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.operator.AutomationState
import io.poplarwood.entry.operator.ChangeOutcome
import io.poplarwood.entry.operator.ExplainReport
import io.poplarwood.entry.operator.HistoryRow
import io.poplarwood.entry.operator.OperatorBackend
import io.poplarwood.entry.operator.OperatorChangeRequest
import io.poplarwood.entry.operator.Readiness
import io.poplarwood.entry.operator.ServiceClasses
import io.poplarwood.entry.operator.StatusReport
import io.poplarwood.fleet.FleetRunner
import io.poplarwood.fleet.config.ChangeRequest
import io.poplarwood.fleet.config.ChangeResult
import io.poplarwood.fleet.config.DocumentInForce
import io.poplarwood.fleet.config.History
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID
import kotlin.time.Duration.Companion.seconds

/** Serves the operators' API from the state of this entry. */
internal class NodeOperatorBackend(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val fleet: () -> FleetRunner?,
    private val admission: AdmissionGate,
    private val statusReporter: StatusReporter,
    private val explainLog: ExplainLog,
    private val metrics: EntryMetrics,
) : OperatorBackend {
    override suspend fun classes(): List<ServiceClasses> =
        documentsInForce().map { ServiceClasses(it.version, it.document) }

    override suspend fun change(request: OperatorChangeRequest): ChangeOutcome {
        val fleetRunner = fleet() ?: return ChangeOutcome.Unavailable(STARTING)
        val changeId = UUID.randomUUID().toString()
        val result = fleetRunner.change(
            ChangeRequest(changeId, request.operatorName, request.document, request.expectedVersion),
        )
        val everywhere = request.waitUntilInForce && result is ChangeResult.Accepted &&
            withTimeoutOrNull(IN_FORCE_TIMEOUT) { fleetRunner.awaitInForce(changeId) } != null
        fleetRunner.forget(changeId)
        return outcome(changeId, result, everywhere)
    }

    override suspend fun history(limit: Int): List<HistoryRow>? {
        val history = History(platform.table)
        val rows = documentsInForce().flatMap { current ->
            val changes = history.of(current.document.service).getOrElse { return null }
            changes.map {
                val change = it.change
                HistoryRow(
                    it.sequence,
                    change.service.value,
                    change.version,
                    change.who,
                    change.atMs,
                    it.inForce?.tookMs,
                    change.changeId,
                )
            }
        }
        return rows.sortedByDescending { it.sequence }.take(limit)
    }

    override suspend fun status(): StatusReport = statusReporter.report()

    override suspend fun explain(request: RequestId): ExplainReport? =
        explainLog.find(request)?.toReport(settings.id.value)

    override suspend fun setAutomationPaused(paused: Boolean, operatorName: String): AutomationState? {
        for (current in documentsInForce().filter { it.document.automationPaused != paused }) {
            val document = current.document.copy(automationPaused = paused)
            val outcome =
                change(OperatorChangeRequest(document, current.version, waitUntilInForce = true, operatorName))
            if (outcome !is ChangeOutcome.Accepted) return null
        }
        return AutomationState(paused, fleet()?.read { applied } ?: 0)
    }

    override fun metrics(): String = metrics.exposition().decodeToString()

    override fun readiness(): Readiness {
        val refusal = admission.refusal ?: return Readiness(true)
        return Readiness(false, listOf(refusal.wire))
    }

    private suspend fun documentsInForce(): List<DocumentInForce> = fleet()?.read { documents.toList() }.orEmpty()

    private fun outcome(changeId: String, result: ChangeResult, everywhere: Boolean): ChangeOutcome = when (result) {
        is ChangeResult.Accepted -> ChangeOutcome.Accepted(result.version, result.sequence, everywhere)
        is ChangeResult.Unconfirmed -> ChangeOutcome.Accepted(result.version, result.sequence, everywhere = false)
        is ChangeResult.Conflict -> ChangeOutcome.Conflict(
            result.winner?.let { ServiceClasses(it.version, it.document) },
            result.differences.map { it.value() },
        )
        is ChangeResult.Invalid -> ChangeOutcome.Invalid(result.faults.map { it.value() })
        ChangeResult.StoreUnavailable -> ChangeOutcome.Unavailable("store-unavailable")
        ChangeResult.Overloaded -> ChangeOutcome.Unavailable("too-many-changes")
        ChangeResult.Unknown -> ChangeOutcome.Unknown(changeId)
    }

    private companion object {
        const val STARTING = "starting"

        /** Twice the time within which a change must be in force everywhere. */
        val IN_FORCE_TIMEOUT = 18.seconds
    }
}
