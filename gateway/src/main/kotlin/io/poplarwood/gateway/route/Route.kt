package io.poplarwood.gateway.route

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration

/**
 * Routing rule for the requests of one host and path prefix.
 *
 * @property prefix begins and ends with a slash
 * @property timeout longest time that a caller may be kept waiting
 * @property target latency up to which an answer has its full value
 * @property priority rank; 0 is the most urgent
 * @property maxAttempts maximum number of upstreams to which one request may be sent
 * @property shares at least one, and at least one has a positive weight; empty if the route is [unreadable]
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

    /** Whether requests can be forwarded; otherwise they are refused, with the guarantee that they have not run. */
    val readable: Boolean get() = shares.isNotEmpty()

    companion object {
        /**
         * Stands in the place of a route whose fields cannot be read, so that its requests are neither answered as
         * unknown nor forwarded by the route of a shorter prefix. Without a [prefix] it stands for all requests of
         * [host] that match no other route, as any of them may belong to it.
         */
        fun unreadable(host: String, prefix: String?): Route = Route(
            host = host,
            name = "unreadable",
            prefix = prefix ?: "/",
            kind = RequestKind.UNKNOWN,
            timeout = Duration.ZERO,
            target = Duration.ZERO,
            priority = 0,
            maxAttempts = 1,
            shares = persistentListOf(),
        )
    }
}
