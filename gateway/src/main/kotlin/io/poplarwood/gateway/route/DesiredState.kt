package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName
import kotlinx.collections.immutable.ImmutableMap

/** One version of the configuration that operators want; replaced as a whole. */
data class DesiredState(
    val version: Long,
    val services: ImmutableMap<ServiceName, ServiceSpec>,
    val routes: RouteTable,
    val limits: CallerLimits,
)
