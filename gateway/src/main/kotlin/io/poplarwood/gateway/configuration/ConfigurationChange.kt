package io.poplarwood.gateway.configuration

import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.RouteDigest
import io.poplarwood.gateway.route.RouteKey
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.route.ServiceSpec

/**
 * What turns one desired state into another. A change from store version 0 holds a whole desired state.
 *
 * @property from store version of the earlier desired state; 0 when the change needs none
 * @property to store version of the later desired state
 * @property version version of the later desired state
 * @property services services of the later desired state
 * @property limits limits of the later desired state
 * @property removed routes that the later desired state lacks
 * @property added routes that are new or different in the later desired state
 * @property digest digest of the later desired state
 */
internal class ConfigurationChange(
    val from: Long,
    val to: Long,
    val version: Long,
    val services: List<ServiceSpec>,
    val limits: CallerLimits,
    val removed: List<RouteKey>,
    val added: List<Route>,
    val digest: Long,
) {
    /** The later desired state, made from the [earlier] one; null when the result does not have the expected digest. */
    fun applyTo(earlier: DesiredState?): Configuration? {
        val base = if (from == 0L) RouteTable.EMPTY else earlier?.routes ?: return null
        val state = DesiredState(version, services.associateByName(), base.change(removed, added), limits)
        return if (RouteDigest.of(state) == digest) Configuration(state, to) else null
    }

    companion object {
        /** The change that leads from [earlier] to [later]; the whole of [later] when [earlier] is null. */
        fun between(earlier: Configuration?, later: Configuration): ConfigurationChange {
            val base = earlier?.state?.routes ?: RouteTable.EMPTY
            val state = later.state
            return ConfigurationChange(
                from = earlier?.storeVersion ?: 0,
                to = later.storeVersion,
                version = state.version,
                services = state.services.values.sortedBy { it.name.value },
                limits = state.limits,
                removed = state.routes.removedSince(base).sortedWith(compareBy({ it.host }, { it.prefix })),
                added = state.routes.addedSince(base).sortedWith(compareBy({ it.key.host }, { it.prefix })),
                digest = RouteDigest.of(state),
            )
        }
    }
}
