package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.ServiceSpec
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap

/** The services by their names. */
internal fun List<ServiceSpec>.associateByName(): ImmutableMap<ServiceName, ServiceSpec> =
    associateBy { it.name }.toImmutableMap()
