package io.poplarwood.fleet.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/** Update that upstream [id] of [service] is in [state], as entries send it to each other. */
@Serializable
data class UpstreamStateRow(val id: UpstreamId, val service: ServiceName, val state: FleetUpstreamState)
