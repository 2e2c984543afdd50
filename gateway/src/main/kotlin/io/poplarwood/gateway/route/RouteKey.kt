package io.poplarwood.gateway.route

/** Identifies a route: its host in lower case and its path prefix. */
data class RouteKey(val host: String, val prefix: String)
