package io.poplarwood.gateway.adapter

import kotlin.time.Duration

/** Formats of the requests that an entry answers itself: readiness checks and directory queries. */
interface Endpoints {
    /** Whether [target] is the request target of a readiness check. */
    fun asksReadiness(target: String): Boolean

    /** Parses the directory query in [target]; null when [target] is for something else. */
    fun directoryQuestion(target: String): DirectoryQuestion?

    /** The reply body that lists [addresses], which callers may use for [lifetime]. */
    fun directoryAnswer(addresses: List<String>, lifetime: Duration): ByteArray
}

/** A query for the entries that a caller in [zone] should use; [zone] is null when the query names none. */
data class DirectoryQuestion(val zone: String?)
