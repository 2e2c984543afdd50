package io.poplarwood.gateway.adapter

import kotlin.time.Duration

/** Formats of the requests that an entry answers itself: readiness checks and directory queries. */
interface Endpoints {
    /** Whether [target] is the request target of a readiness check. */
    fun isReadinessCheck(target: String): Boolean

    /** Parses the directory query in [target]; null when [target] is for something else. */
    fun parseDirectoryQuery(target: String): DirectoryQuery?

    /** The reply body that lists [addresses], which callers may use for [lifetime]. */
    fun directoryReply(addresses: List<String>, lifetime: Duration): ByteArray
}

/** A query for the entries that a caller in [zone] should use; [zone] is null when the query names none. */
data class DirectoryQuery(val zone: String?)
