package io.poplarwood.api.work

import kotlinx.serialization.Serializable

/** Matches requests by HTTP [method] (any when null) and by [pathPrefix]. */
@Serializable
data class MatchRule(val method: String? = null, val pathPrefix: String = "/") {
    /** Whether a request with this [method] and [path] matches. */
    fun matches(method: String, path: String): Boolean =
        (this.method == null || this.method == method) && path.startsWith(pathPrefix)
}
