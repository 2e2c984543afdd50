package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.ServiceSpec
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** These services without the [removed] ones and with the [added] ones, which replace those of the same names. */
internal fun Map<ServiceName, ServiceSpec>.change(
    removed: List<ServiceName>,
    added: List<ServiceSpec>,
): ImmutableMap<ServiceName, ServiceSpec> = (this - removed.toSet() + added.associateBy { it.name }).toImmutableMap()
