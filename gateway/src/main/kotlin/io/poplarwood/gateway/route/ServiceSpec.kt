package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/**
 * What holds for every upstream of a service.
 *
 * @property healthPath path whose answer tells the state of an upstream
 * @property maxConnections connections that an upstream accepts from all callers together
 */
data class ServiceSpec(val name: ServiceName, val healthPath: String, val maxConnections: Int)
