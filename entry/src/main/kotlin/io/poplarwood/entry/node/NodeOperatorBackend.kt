package io.poplarwood.entry.node

import com.github.michaelbull.result.getOrElse
import io.poplarwood.api.id.RequestId
import io.poplarwood.decision.explain.ExplainLog
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.operator.AutomationState
import io.poplarwood.entry.operator.ChangeOrder
import io.poplarwood.entry.operator.ChangeOutcome
import io.poplarwood.entry.operator.ExplainReport
import io.poplarwood.entry.operator.HistoryRow
import io.poplarwood.entry.operator.OperatorBackend
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

/** What operators ask of this entry. */
internal class NodeOperatorBackend(
    private val settings: NodeSettings,
    private val platform: Platform,
    private val fleet: () -> FleetRunner?,
    private val gate: AdmissionGate,
    private val reports: StatusReporter,
    private val log: ExplainLog,
    private val metrics: EntryMetrics,
) : OperatorBackend {
    override suspend fun classes(): List<ServiceClasses> = inForce().map { ServiceClasses(it.version, it.document) }

    override suspend fun change(order: ChangeOrder): ChangeOutcome {
        val running = fleet() ?: return ChangeOutcome.Unavailable(STARTING)
        val id = UUID.randomUUID().toString()
        val result = running.change(ChangeRequest(id, order.who, order.document, order.expectVersion))
        val everywhere = order.wait && result is ChangeResult.Accepted &&
            withTimeoutOrNull(WAIT_LIMIT) { running.awaitInForce(id) } != null
        running.forget(id)
        return outcome(id, result, everywhere)
    }

    override suspend fun history(limit: Int): List<HistoryRow>? {
        val history = History(platform.table)
        val rows = inForce().flatMap { d ->
            val changes = history.of(d.document.service).getOrElse { return null }
            changes.map {
                val c = it.change
                HistoryRow(it.sequence, c.service.value, c.version, c.who, c.atMs, it.inForce?.tookMs, c.changeId)
            }
        }
        return rows.sortedByDescending { it.sequence }.take(limit)
    }

    override suspend fun status(): StatusReport = reports.report()

    override suspend fun explain(request: RequestId): ExplainReport? = log.find(request)?.report(settings.id.value)

    override suspend fun automation(paused: Boolean, who: String): AutomationState? {
        for (d in inForce().filter { it.document.automationPaused != paused }) {
            val document = d.document.copy(automationPaused = paused)
            val outcome = change(ChangeOrder(document, d.version, wait = true, who))
            if (outcome !is ChangeOutcome.Accepted) return null
        }
        return AutomationState(paused, fleet()?.read { applied } ?: 0)
    }

    override fun metrics(): String = metrics.exposition().decodeToString()

    override fun ready(): Readiness {
        val refusal = gate.refusal ?: return Readiness(true)
        return Readiness(false, listOf(refusal.wire))
    }

    private suspend fun inForce(): List<DocumentInForce> = fleet()?.read { documents.toList() }.orEmpty()

    private fun outcome(id: String, result: ChangeResult, everywhere: Boolean): ChangeOutcome = when (result) {
        is ChangeResult.Accepted -> ChangeOutcome.Accepted(result.version, result.sequence, everywhere)
        is ChangeResult.Unconfirmed -> ChangeOutcome.Accepted(result.version, result.sequence, everywhere = false)
        is ChangeResult.Conflict -> ChangeOutcome.Conflict(
            result.winner?.let { ServiceClasses(it.version, it.document) },
            result.differences.map { it.value() },
        )
        is ChangeResult.Invalid -> ChangeOutcome.Invalid(result.faults.map { it.value() })
        ChangeResult.StoreUnavailable -> ChangeOutcome.Unavailable("store-unavailable")
        ChangeResult.Overloaded -> ChangeOutcome.Unavailable("too-many-changes")
        ChangeResult.Unknown -> ChangeOutcome.Unknown(id)
    }

    private companion object {
        const val STARTING = "starting"

        /** Twice the time within which a change has to be in force everywhere. */
        val WAIT_LIMIT = 18.seconds
    }
}
