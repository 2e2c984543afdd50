package io.poplarwood.entry.node

import io.poplarwood.api.id.ServiceName
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.FleetRunner
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.channels.Channel

/** Carries the fleet's events into the decisions, in order and outside of the fleet's lock. */
internal class FleetEventHandler(
    private val services: ServiceRegistry,
    private val members: MembershipView,
    private val gate: AdmissionGate,
    private val observe: (FleetEvent) -> Unit,
) {
    private val queue = Channel<FleetEvent>(Channel.UNLIMITED)

    /** Takes an event; never blocks. */
    fun offer(event: FleetEvent) {
        if (event is FleetEvent.Freshness) gate.freshness(event.fresh)
        queue.trySend(event)
    }

    /** Handles events until cancelled. */
    suspend fun run(fleet: FleetRunner) {
        for (event in queue) {
            handle(fleet, event)
            observe(event)
        }
    }

    private suspend fun handle(fleet: FleetRunner, event: FleetEvent) {
        when (event) {
            is FleetEvent.InForce -> services.configure(fleet.read { self }, event.document.document)
            is FleetEvent.MembersChanged -> membersChanged(fleet)
            is FleetEvent.UpstreamsChanged -> upstreamsChanged(fleet, event.service)
            is FleetEvent.Renamed -> {
                membersChanged(fleet)
                services.rename(event.self)
            }
            else -> Unit
        }
    }

    private suspend fun membersChanged(fleet: FleetRunner) {
        val before = members.sharing
        members.replace(fleet.read { members })
        val after = members.sharing
        if (after != before) services.entries(after)
    }

    private suspend fun upstreamsChanged(fleet: FleetRunner, service: ServiceName) {
        services.upstreams(service, fleet.read { upstreams(service) }.map { it.view() }.toImmutableList())
    }
}
