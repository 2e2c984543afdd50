package io.poplarwood.gateway.route

/**
 * A route of a desired state that this code understands only in part. The store accepts only valid desired states, so
 * the operator's format is newer than the code.
 *
 * @property prefix null if it cannot be read either
 * @property detail the unknown kind, or why the route cannot be read
 */
data class RouteProblem(val host: String, val prefix: String?, val type: RouteProblemType, val detail: String)
