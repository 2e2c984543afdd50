package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.adapter.Endpoints
import io.poplarwood.gateway.directory.Directory
import io.poplarwood.gateway.directory.OwnEntry
import io.poplarwood.gateway.http.InternalReply

/** What an entry answers about itself and the others: whether it takes requests, and which entries callers may use. */
internal class EntryReplies(
    private val endpoints: Endpoints,
    private val directory: Directory,
    private val own: () -> OwnEntry,
) {
    /** Answer to a check of readiness. */
    fun readiness(target: String): InternalReply = when {
        !endpoints.asksReadiness(target) -> empty(NOT_FOUND)
        own().serving -> empty(OK)
        else -> empty(UNAVAILABLE)
    }

    /** Answer to a caller that asks for entries. */
    fun entries(target: String): InternalReply {
        val question = endpoints.directoryQuestion(target) ?: return empty(NOT_FOUND)
        val entries = directory.entriesFor(question.zone)
        if (entries.isEmpty()) return empty(UNAVAILABLE)
        return InternalReply(OK, "application/json", endpoints.directoryAnswer(entries, directory.lifetime))
    }

    private fun empty(status: Int) = InternalReply(status, "text/plain", ByteArray(0))

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
