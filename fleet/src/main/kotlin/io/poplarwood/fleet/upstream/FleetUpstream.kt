package io.poplarwood.fleet.upstream

import io.poplarwood.api.id.ServiceName
import io.poplarwood.api.id.UpstreamId
import io.poplarwood.api.id.Zone

/** One upstream of a service as the entries of the cell know it. */
data class FleetUpstream(
    val id: UpstreamId,
    val service: ServiceName,
    val zone: Zone,
    val slots: Int,
    val connectionLimit: Int,
    val state: FleetUpstreamState,
)
