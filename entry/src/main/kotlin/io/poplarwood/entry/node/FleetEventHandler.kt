package io.poplarwood.entry.node

import io.poplarwood.api.id.ServiceName
import io.poplarwood.fleet.FleetEvent
import io.poplarwood.fleet.FleetRunner
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.channels.Channel

/** Applies fleet events to the services and the membership view, in order and outside the fleet's lock. */
internal class FleetEventHandler(
    private val services: ServiceRegistry,
    private val membership: MembershipView,
    private val admission: AdmissionGate,
    private val onHandled: (FleetEvent) -> Unit,
) {
    private val queue = Channel<FleetEvent>(Channel.UNLIMITED)

    /** Queues [event] without blocking; a change of freshness takes effect at once. */
    fun offer(event: FleetEvent) {
        if (event is FleetEvent.Freshness) admission.updateFreshness(event.fresh)
        queue.trySend(event)
    }

    /** Handles events until cancelled. */
    suspend fun run(fleet: FleetRunner) {
        for (event in queue) {
            handle(fleet, event)
            onHandled(event)
        }
    }

    private suspend fun handle(fleet: FleetRunner, event: FleetEvent) {
        when (event) {
            is FleetEvent.InForce -> services.configure(fleet.read { self }, event.document.document)
            is FleetEvent.MembersChanged -> onMembersChanged(fleet)
            is FleetEvent.UpstreamsChanged -> onUpstreamsChanged(fleet, event.service)
            is FleetEvent.Renamed -> {
                onMembersChanged(fleet)
                services.adoptIncarnation(event.self)
            }
            else -> Unit
        }
    }

    private suspend fun onMembersChanged(fleet: FleetRunner) {
        val before = membership.leaseParticipants
        membership.replace(fleet.read { members })
        val after = membership.leaseParticipants
        if (after != before) services.updateEntries(after)
    }

    private suspend fun onUpstreamsChanged(fleet: FleetRunner, service: ServiceName) {
        services.updateUpstreams(
            service,
            fleet.read { upstreams(service) }.map { it.toUpstreamView() }.toImmutableList(),
        )
    }
}
