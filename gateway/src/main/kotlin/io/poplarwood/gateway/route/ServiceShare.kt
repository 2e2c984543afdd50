package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/** Share of a route's requests that goes to [service], proportional to [weight]. */
data class ServiceShare(val service: ServiceName, val weight: Int)
