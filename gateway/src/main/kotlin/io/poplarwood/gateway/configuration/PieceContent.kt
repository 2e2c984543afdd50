package io.poplarwood.gateway.configuration

import io.poplarwood.api.id.ServiceName
import io.poplarwood.gateway.route.CallerLimits
import io.poplarwood.gateway.route.RouteKey
import io.poplarwood.gateway.route.ServiceSpec
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Content of one piece of a configuration change.
 *
 * @property header what is neither a route nor a service; in the first piece only
 */
@Serializable
internal class PieceContent(
    @SerialName("h") val header: ChangeHeader? = null,
    @SerialName("x") val removedServices: List<String> = emptyList(),
    @SerialName("s") val addedServices: List<ServiceRow> = emptyList(),
    @SerialName("r") val removed: List<KeyRow> = emptyList(),
    @SerialName("a") val added: List<RouteRow> = emptyList(),
)

/** The part of a configuration change that is neither a route nor a service. */
@Serializable
internal class ChangeHeader(
    @SerialName("l") val limits: LimitsRow,
)

/** A route key as entries send it to each other. */
@Serializable
internal class KeyRow(
    @SerialName("h") val host: String,
    @SerialName("p") val prefix: String,
) {
    fun toKey() = RouteKey(host, prefix)
}

/** A service as entries send it to each other. */
@Serializable
internal class ServiceRow(
    @SerialName("n") val name: String,
    @SerialName("h") val healthPath: String,
    @SerialName("c") val maxConnections: Int,
) {
    fun toSpec() = ServiceSpec(ServiceName(name), healthPath, maxConnections)

    companion object {
        fun of(spec: ServiceSpec): ServiceRow = ServiceRow(spec.name.value, spec.healthPath, spec.maxConnections)
    }
}

/** Limits for callers as entries send them to each other. Times are in nanoseconds. */
@Serializable
internal class LimitsRow(
    @SerialName("h") val maxHeaderBytes: Int,
    @SerialName("b") val maxBodyBytes: Long,
    @SerialName("t") val headerTimeoutNs: Long,
    @SerialName("i") val idleTimeoutNs: Long,
) {
    fun toLimits() =
        CallerLimits(maxHeaderBytes, maxBodyBytes, headerTimeoutNs.nanoseconds, idleTimeoutNs.nanoseconds)

    companion object {
        fun of(limits: CallerLimits): LimitsRow = LimitsRow(
            limits.maxHeaderBytes,
            limits.maxBodyBytes,
            limits.headerTimeout.inWholeNanoseconds,
            limits.idleTimeout.inWholeNanoseconds,
        )
    }
}
