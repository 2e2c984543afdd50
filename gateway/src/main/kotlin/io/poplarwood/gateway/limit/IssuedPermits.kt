package io.poplarwood.gateway.limit

/** [count] permits for [asker], for requests that are at least as urgent as [priority]. */
internal data class IssuedPermits(val asker: String, val priority: Int, val count: Int)
