package io.poplarwood.gateway.route

import kotlinx.collections.immutable.ImmutableList
import kotlin.time.Duration

/**
 * Routing rule for the requests of one host and path prefix.
 *
 * @property prefix begins and ends with a slash
 * @property timeout longest time that a caller may be kept waiting
 * @property target latency up to which an answer has its full value
 * @property priority rank; 0 is the most urgent
 * @property maxAttempts maximum number of upstreams to which one request may be sent
 * @property shares at least one, each with a positive weight
 */
data class Route(
    val host: String,
    val name: String,
    val prefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val target: Duration,
    val priority: Int,
    val maxAttempts: Int,
    val shares: ImmutableList<ServiceShare>,
) {
    /** Identifies this route among those of a desired state. */
    val key: RouteKey get() = RouteKey(host.lowercase(), prefix)
}
