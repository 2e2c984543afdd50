package io.poplarwood.gateway.route

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The routes of a desired state. A changed table shares the hosts that did not change with the table it was made from,
 * so a change costs as much as the routes that it adds or removes.
 *
 * @property size number of routes
 * @property digest digest of all routes; does not depend on their order
 */
class RouteTable private constructor(
    private val byHost: PersistentMap<String, PersistentMap<String, Route>>,
    val size: Int,
    val digest: Long,
) {
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

    /** The route with [key]; null when there is none. */
    operator fun get(key: RouteKey): Route? = byHost[key.host]?.get(key.prefix)

    /** All routes, in no particular order. */
    fun all(): Sequence<Route> = byHost.values.asSequence().flatMap { it.values }

    /** A table without the routes of [removed] and with those of [added], which replace routes of the same key. */
    fun change(removed: Collection<RouteKey>, added: Iterable<Route>): RouteTable {
        val hosts = byHost.builder()
        var count = size
        var sum = digest
        for (key in removed) {
            val prefixes = hosts[key.host] ?: continue
            val route = prefixes[key.prefix] ?: continue
            val rest = prefixes.remove(key.prefix)
            if (rest.isEmpty()) hosts.remove(key.host) else hosts[key.host] = rest
            count--
            sum -= RouteDigest.of(route)
        }
        for ((host, routes) in added.groupBy { it.key.host }) {
            val prefixes = (hosts[host] ?: persistentHashMapOf()).builder()
            for (route in routes) {
                val previous = prefixes.put(route.prefix, route)
                if (previous == null) count++ else sum -= RouteDigest.of(previous)
                sum += RouteDigest.of(route)
            }
            hosts[host] = prefixes.build()
        }
        return RouteTable(hosts.build(), count, sum)
    }

    /** Routes of this table that [earlier] lacks or has with other settings. */
    fun addedSince(earlier: RouteTable): List<Route> = byHost.flatMap { (host, prefixes) ->
        val before = earlier.byHost[host]
        if (before === prefixes) emptyList() else prefixes.values.filter { before?.get(it.prefix) != it }
    }

    /** Keys of routes of [earlier] that this table lacks. */
    fun removedSince(earlier: RouteTable): List<RouteKey> = earlier.byHost.flatMap { (host, prefixes) ->
        val now = byHost[host]
        if (now === prefixes) {
            emptyList()
        } else {
            prefixes.keys.filter { now == null || it !in now }.map { RouteKey(host, it) }
        }
    }

    companion object {
        /** A table without routes. */
        val EMPTY: RouteTable = RouteTable(persistentHashMapOf(), 0, 0)

        /** A table of [routes]; of several with the same key, the last one counts. */
        fun of(routes: Iterable<Route>): RouteTable = EMPTY.change(emptyList(), routes)
    }
}
