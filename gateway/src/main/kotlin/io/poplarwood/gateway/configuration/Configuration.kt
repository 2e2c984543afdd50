package io.poplarwood.gateway.configuration

import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.store.StoreVersion

/** A desired state and the store version of its row. */
internal class Configuration(val state: DesiredState, row: StoreVersion) {
    val version: ConfigurationVersion = ConfigurationVersion(state.version, row)

    /** The same desired state, which shares the routes that did not change with [earlier]. */
    fun sharing(earlier: Configuration?): Configuration {
        val before = earlier?.state?.routes ?: return this
        val routes = before.change(state.routes.removedSince(before), state.routes.addedSince(before))
        return Configuration(state.copy(routes = routes), version.row)
    }
}
