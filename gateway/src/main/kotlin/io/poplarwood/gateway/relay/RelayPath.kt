package io.poplarwood.gateway.relay

import io.poplarwood.gateway.http.CallerRequest
import io.poplarwood.gateway.http.UpstreamConnectionPool
import io.poplarwood.gateway.metrics.GatewayMetrics
import io.poplarwood.gateway.route.Route
import io.poplarwood.gateway.runtime.RequestHandler
import io.poplarwood.gateway.runtime.RequestReport

/** The way of requests to other entries: who can help, and the connections to them. */
internal class RelayPath(
    val helpers: RelayHelpers,
    private val links: UpstreamConnectionPool,
    private val metrics: GatewayMetrics,
) {
    /** The execution of [request] by way of other entries. */
    fun runOf(
        handler: RequestHandler,
        request: CallerRequest,
        route: Route,
        report: RequestReport,
    ) = RelayedRun(handler, helpers, links, metrics, request, route, report)
}
