package io.poplarwood.api.work

import kotlinx.serialization.Serializable

/** Selects requests by [method] (any when null) and [pathPrefix]. */
@Serializable
data class MatchRule(val method: String? = null, val pathPrefix: String = "/") {
    /** True when a request with this [method] and [path] is selected. */
    fun matches(method: String, path: String): Boolean =
        (this.method == null || this.method == method) && path.startsWith(pathPrefix)
}
