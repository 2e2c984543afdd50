package io.poplarwood.gateway.route

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Collects the routes of a desired state while it is decoded, and decides what stands for those not understood. */
class RouteCollector {
    private val readable = ArrayList<Route>()
    private val unreadable = ArrayList<Route>()
    private val found = ArrayList<RouteProblem>()

    /** What was not understood about the routes. */
    val problems: ImmutableList<RouteProblem> get() = found.toImmutableList()

    /** Adds a route that is understood completely. */
    fun add(route: Route) {
        readable += route
    }

    /** Adds [route], whose kind has the unknown name [kindName]: serves it as the strictest kind. */
    fun addOfUnknownKind(route: Route, kindName: String) {
        readable += route.copy(kind = RequestKind.UNKNOWN)
        found += RouteProblem(route.host, route.prefix, RouteProblemType.UNKNOWN_KIND, kindName)
    }

    /** Adds a route that cannot be read because of [detail]: its requests are refused. */
    fun addUnreadable(host: String, prefix: String?, detail: String) {
        unreadable += Route.unreadable(host, prefix)
        found += RouteProblem(host, prefix, RouteProblemType.UNREADABLE, detail)
    }

    /** All routes; a readable one takes precedence over an unreadable one with the same host and prefix. */
    fun routes(): ImmutableList<Route> {
        if (unreadable.isEmpty()) return readable.toImmutableList()
        val taken = readable.mapTo(HashSet()) { it.host to it.prefix }
        return (readable + unreadable.filter { (it.host to it.prefix) !in taken }).toImmutableList()
    }
}
