package io.poplarwood.entry.node

import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.entry.metrics.RecentCalls
import io.poplarwood.entry.operator.ClassStatus
import io.poplarwood.entry.operator.EntryStatus
import io.poplarwood.entry.operator.StatusReport
import io.poplarwood.entry.operator.UpstreamStatus
import io.poplarwood.fleet.FleetRunner
import kotlin.time.DurationUnit

/** Builds status reports from what this entry knows about its cell. */
internal class StatusReporter(
    private val settings: NodeSettings,
    private val services: ServiceRegistry,
    private val recentCalls: RecentCalls,
    private val inFlight: () -> Int,
    private val fleet: () -> FleetRunner?,
) {
    suspend fun report(): StatusReport {
        val fleetRunner = fleet()
        val applied = fleetRunner?.read { applied } ?: 0
        return StatusReport(
            entry = settings.id.value,
            cell = settings.cell,
            sequence = applied,
            automationPaused = services.all.any { it.document.automationPaused },
            entries = fleetRunner?.let { entryStatuses(it) }.orEmpty(),
            upstreams = services.all.flatMap { runtime ->
                runtime.upstreamRows().map { it.toStatus(runtime.document.service.value) }
            },
            classes = services.all.flatMap(::classStatuses),
        )
    }

    private suspend fun entryStatuses(fleetRunner: FleetRunner): List<EntryStatus> {
        val self = fleetRunner.read { self }
        val sequences = fleetRunner.read { members.associate { it.ref to appliedBy(it.ref) } }
        return fleetRunner.read { members }.map {
            val ownInFlight = if (it.ref == self) inFlight() else 0
            val state = it.state.name.lowercase()
            EntryStatus(it.ref.id.value, it.zone.value, it.callerAddress, state, sequences[it.ref] ?: -1, ownInFlight)
        }
    }

    private fun classStatuses(runtime: ServiceRuntime): List<ClassStatus> = runtime.document.classes.map { workClass ->
        val summary = recentCalls.summary(runtime.document.service, workClass.name, workClass.target.servedWithin)
        ClassStatus(
            runtime.document.service.value,
            workClass.name.value,
            workClass.rank,
            workClass.target,
            summary.requests,
            summary.refused,
            summary.servedPart,
            summary.p99Ms,
        )
    }

    private fun UpstreamRow.toStatus(service: String) = UpstreamStatus(
        service,
        id.address,
        state.name.lowercase(),
        inFlight,
        limit,
        latency.toDouble(DurationUnit.MILLISECONDS),
    )
}
