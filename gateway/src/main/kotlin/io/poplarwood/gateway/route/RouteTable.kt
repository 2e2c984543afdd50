package io.poplarwood.gateway.route

/** Finds the route of a request: among the routes of its host, the one with the longest prefix of the path. */
internal class RouteTable(routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) -> list.associateBy(Route::prefix) }

    /** Returns the route for [path] (a query is ignored) at [host] (a port is ignored); null when none matches. */
    fun find(host: String, path: String): Route? {
        val prefixes = byHost[host.substringBefore(':').lowercase()] ?: return null
        val pathOnly = path.substringBefore('?')
        var slashAt = pathOnly.lastIndexOf('/')
        while (slashAt >= 0) {
            prefixes[pathOnly.substring(0, slashAt + 1)]?.let { return it }
            slashAt = if (slashAt == 0) -1 else pathOnly.lastIndexOf('/', slashAt - 1)
        }
        return null
    }
}
