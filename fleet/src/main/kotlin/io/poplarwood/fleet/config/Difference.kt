package io.poplarwood.fleet.config

/** One value that differs between two documents; null where it is absent. */
data class Difference(val path: String, val before: String?, val after: String?)
