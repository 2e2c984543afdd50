package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.RouteDigest
import io.poplarwood.gateway.route.RouteKey
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.route.ServiceSpec

/**
 * What turns one desired state into another. A change from no version holds a whole desired state.
 *
 * @property from version of the earlier desired state; null when the change needs none
 * @property to version of the later desired state
 * @property limits limits of the later desired state
 * @property removedServices services that the later desired state lacks
 * @property addedServices services that are new or different in the later desired state
 * @property removed routes that the later desired state lacks
 * @property added routes that are new or different in the later desired state
 * @property digest digest of the later desired state
 */
internal class ConfigurationChange(
    val from: ConfigurationVersion?,
    val to: ConfigurationVersion,
    val limits: CallerLimits,
    val removedServices: List<ServiceName>,
    val addedServices: List<ServiceSpec>,
    val removed: List<RouteKey>,
    val added: List<Route>,
    val digest: Long,
) {
    /** The later desired state, made from the [earlier] one; null when the result does not have the expected digest. */
    fun applyTo(earlier: DesiredState?): Configuration? {
        if (from != null && earlier == null) return null
        val base = earlier.takeIf { from != null }
        val routes = (base?.routes ?: RouteTable.EMPTY).change(removed, added)
        val services = base?.services.orEmpty().change(removedServices, addedServices)
        val state = DesiredState(to.operatorVersion, services, routes, limits)
        return if (RouteDigest.of(state) == digest) Configuration(state, to.row) else null
    }

    companion object {
        /** The change that leads from [earlier] to [later]; the whole of [later] when [earlier] is null. */
        fun between(earlier: Configuration?, later: Configuration): ConfigurationChange {
            val base = earlier?.state?.routes ?: RouteTable.EMPTY
            val baseServices = earlier?.state?.services.orEmpty()
            val state = later.state
            return ConfigurationChange(
                from = earlier?.version,
                to = later.version,
                limits = state.limits,
                removedServices = (baseServices.keys - state.services.keys).sortedBy { it.value },
                addedServices = state.services.values.filter { it != baseServices[it.name] }.sortedBy { it.name.value },
                removed = state.routes.removedSince(base).sortedWith(compareBy({ it.host }, { it.prefix })),
                added = state.routes.addedSince(base).sortedWith(compareBy({ it.key.host }, { it.prefix })),
                digest = RouteDigest.of(state),
            )
        }
    }
}
