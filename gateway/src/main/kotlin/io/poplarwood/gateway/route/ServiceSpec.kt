package io.poplarwood.gateway.route

import io.poplarwood.api.id.ServiceName

/**
 * Settings that apply to every upstream of a service.
 *
 * @property healthPath path whose answer reports the health of an upstream
 * @property maxConnections number of connections that an upstream accepts from all callers together
 */
data class ServiceSpec(val name: ServiceName, val healthPath: String, val maxConnections: Int)
