package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.RequestKind
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.route.ServiceShare
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.nanoseconds

/** A route as entries send it to each other. Times are in nanoseconds. */
@Serializable
internal class RouteRow(
    @SerialName("h") val host: String,
    @SerialName("n") val name: String,
    @SerialName("p") val prefix: String,
    @SerialName("k") val kind: RequestKind,
    @SerialName("o") val timeoutNs: Long,
    @SerialName("t") val targetNs: Long,
    @SerialName("r") val priority: Int,
    @SerialName("a") val maxAttempts: Int,
    @SerialName("s") val services: List<String>,
    @SerialName("w") val weights: List<Int>,
) {
    fun toRoute() = Route(
        host,
        name,
        prefix,
        kind,
        timeoutNs.nanoseconds,
        targetNs.nanoseconds,
        priority,
        maxAttempts,
        services.zip(weights) { service, weight -> ServiceShare(ServiceName(service), weight) }.toImmutableList(),
    )

    companion object {
        fun of(route: Route): RouteRow = RouteRow(
            route.host,
            route.name,
            route.prefix,
            route.kind,
            route.timeout.inWholeNanoseconds,
            route.target.inWholeNanoseconds,
            route.priority,
            route.maxAttempts,
            route.shares.map { it.service.value },
            route.shares.map { it.weight },
        )
    }
}
