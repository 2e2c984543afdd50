package io.poplarwood.gateway.support

import io.poplarwood.gateway.configuration.Configuration
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.DesiredState
import io.poplarwood.gateway.route.RouteTable
import io.poplarwood.gateway.route.ServiceSpec
import kotlinx.collections.immutable.persistentMapOf

/** A desired state of [version] with the routes `/1/` to `/[routes]/`, in the store as version ten times as high. */
internal fun configuration(version: Long, routes: Int) = Configuration(
    DesiredState(
        version,
        persistentMapOf(SERVICE to ServiceSpec(SERVICE, "/health", 200)),
        RouteTable.of((1..routes).map { route("/$it/") }),
        CallerLimits(),
    ),
    storeVersion(version * 10),
)
