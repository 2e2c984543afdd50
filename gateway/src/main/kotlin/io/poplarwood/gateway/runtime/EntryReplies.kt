package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.adapter.Endpoints
import io.poplarwood.gateway.directory.Directory
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.http.InternalReply

/** Replies to readiness checks of this entry and to directory queries of callers for the entries to use. */
internal class EntryReplies(
    private val endpoints: Endpoints,
    private val directory: Directory,
    private val ownEntry: () -> OwnEntry,
) {
    /** Reply to a readiness check: 200 while this entry takes requests, 503 otherwise. */
    fun readiness(target: String): InternalReply = when {
        !endpoints.isReadinessCheck(target) -> empty(NOT_FOUND)
        ownEntry().serving -> empty(OK)
        else -> empty(UNAVAILABLE)
    }

    /** Reply to a directory query: the entries to use, or 503 when none is known. */
    fun entries(target: String): InternalReply {
        val query = endpoints.parseDirectoryQuery(target) ?: return empty(NOT_FOUND)
        val entries = directory.entriesFor(query.zone)
        if (entries.isEmpty()) return empty(UNAVAILABLE)
        return InternalReply(OK, "application/json", endpoints.directoryReply(entries, directory.lifetime))
    }

    private fun empty(status: Int) = InternalReply(status, "text/plain", ByteArray(0))

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
