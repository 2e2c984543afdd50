package io.poplarwood.gateway.route

/** What is not understood about a route. The names in lower case are values of the `problem` metric label. */
enum class RouteProblemType {
    /** The kind has an unknown name; the requests are executed at most once. */
    UNKNOWN_KIND,

    /** A field is missing or invalid; the requests are refused. */
    UNREADABLE,
}
