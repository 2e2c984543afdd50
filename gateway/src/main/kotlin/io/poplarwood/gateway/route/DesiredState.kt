package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf

/**
 * One version of the configuration that operators want; replaced as a whole.
 *
 * @property routes includes a [Route.unreadable] for each route that cannot be read
 * @property problems the routes that this code understands only in part
 */
data class DesiredState(
    val version: Long,
    val services: ImmutableMap<ServiceName, ServiceSpec>,
    val routes: RouteTable,
    val limits: CallerLimits,
    val problems: ImmutableList<RouteProblem> = persistentListOf(),
)
