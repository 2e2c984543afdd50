package io.poplarwood.entry.node

import io.poplarwood.decision.routing.UpstreamRow
import io.poplarwood.entry.metrics.RecentCalls
import io.poplarwood.entry.operator.ClassStatus
import io.poplarwood.entry.operator.EntryStatus
import io.poplarwood.entry.operator.StatusReport
import io.poplarwood.entry.operator.UpstreamStatus
import io.poplarwood.fleet.FleetRunner
import kotlin.time.DurationUnit

/** Collects what this entry knows about its cell. */
internal class StatusReporter(
    private val settings: NodeSettings,
    private val services: ServiceRegistry,
    private val recent: RecentCalls,
    private val inFlight: () -> Int,
    private val fleet: () -> FleetRunner?,
) {
    /** The report of now. */
    suspend fun report(): StatusReport {
        val running = fleet()
        val applied = running?.read { applied } ?: 0
        return StatusReport(
            entry = settings.id.value,
            cell = settings.cell,
            sequence = applied,
            automationPaused = services.all.any { it.document.automationPaused },
            entries = running?.let { entries(it) }.orEmpty(),
            upstreams = services.all.flatMap { s -> s.table().map { it.status(s.document.service.value) } },
            classes = services.all.flatMap(::classes),
        )
    }

    private suspend fun entries(running: FleetRunner): List<EntryStatus> {
        val self = running.read { self }
        val sequences = running.read { members.associate { it.ref to appliedBy(it.ref) } }
        return running.read { members }.map {
            val own = if (it.ref == self) inFlight() else 0
            val state = it.state.name.lowercase()
            EntryStatus(it.ref.id.value, it.zone.value, it.callerAddress, state, sequences[it.ref] ?: -1, own)
        }
    }

    private fun classes(s: ServiceRuntime): List<ClassStatus> = s.document.classes.map { c ->
        val seen = recent.summary(s.document.service, c.name, c.target.servedWithin)
        ClassStatus(
            s.document.service.value,
            c.name.value,
            c.rank,
            c.target,
            seen.requests,
            seen.refused,
            seen.servedPart,
            seen.p99Ms,
        )
    }

    private fun UpstreamRow.status(service: String) = UpstreamStatus(
        service,
        id.address,
        state.name.lowercase(),
        inFlight,
        limit,
        latency.toDouble(DurationUnit.MILLISECONDS),
    )
}
