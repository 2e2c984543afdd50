package io.poplarwood.fleet.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import kotlinx.serialization.Serializable

/** One entry's news that [id] is in [state]. */
@Serializable
data class UpstreamStateRow(val id: UpstreamId, val service: ServiceName, val state: FleetUpstreamState)
