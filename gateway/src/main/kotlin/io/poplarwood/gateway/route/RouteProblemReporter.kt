package io.poplarwood.gateway.route

import io.poplarwood.gateway.log.EventLog
import io.poplarwood.gateway.log.GatewayEvent
import io.poplarwood.gateway.metrics.GatewayMetrics

/** Reports the [RouteProblem]s of each desired state once, when it comes into force. */
internal class RouteProblemReporter(private val log: EventLog, private val metrics: GatewayMetrics) {
    private var reported: DesiredState? = null

    /** Logs and counts the problems of [state] unless that was done already. */
    fun report(state: DesiredState) {
        if (state === reported) return
        reported = state
        for (type in RouteProblemType.entries) {
            val problems = state.problems.filter { it.type == type }
            metrics.routeProblemsInForce(type, problems.size)
            if (problems.isNotEmpty()) log.log(eventOf(type), state.version, problems.size, describe(problems))
        }
    }

    private fun eventOf(type: RouteProblemType) = when (type) {
        RouteProblemType.UNKNOWN_KIND -> GatewayEvent.ROUTES_OF_UNKNOWN_KIND
        RouteProblemType.UNREADABLE -> GatewayEvent.ROUTES_UNREADABLE
    }

    private fun describe(problems: List<RouteProblem>) =
        problems.joinToString("; ", limit = MAX_ROUTES, transform = ::describe)

    private fun describe(problem: RouteProblem) =
        "${problem.host}${problem.prefix ?: "/?"} (${problem.detail})".take(MAX_ROUTE_CHARS)

    private companion object {
        /** A version may have thousands of such routes; with both limits, a line has less than 4,000 characters. */
        const val MAX_ROUTES = 20
        const val MAX_ROUTE_CHARS = 180
    }
}
