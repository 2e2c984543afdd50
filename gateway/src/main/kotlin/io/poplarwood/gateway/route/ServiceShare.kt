package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/** The part of a route's requests that goes to [service], in proportion to its [weight]. */
data class ServiceShare(val service: ServiceName, val weight: Int)
