package io.poplarwood.gateway.explain

import kotlin.math.abs

/**
 * What the logs of all entries show about one request.
 *
 * @property records records of the request, and those near it in time about its upstreams or about the lifecycle, the
 *   store and the desired state of its entry; sorted by time
 * @property causes one sentence for each record of the request
 */
class Explanation private constructor(val records: List<LogRecord>, val causes: List<String>) {
    companion object {
        /** Explains the request with [id] from [all] records; null when none of them names the request. */
        fun of(id: String, all: List<LogRecord>): Explanation? {
            val requestRecords = all.filter { it["requestId"] == id }
            if (requestRecords.isEmpty()) return null
            val relatedRecords = all.filter { record -> requestRecords.any { isRelated(record, it) } }
            val causes = requestRecords.map { "${it.source}: ${Cause.of(it["reason"])}" }
            return Explanation((requestRecords + relatedRecords).distinct().sortedBy { it.atMs }, causes)
        }

        private fun isRelated(record: LogRecord, request: LogRecord): Boolean {
            if (abs(record.atMs - request.atMs) > RELATED_WINDOW_MS) return false
            val upstream = record["upstream"]
            if (upstream.isNotEmpty()) return record.event in UPSTREAM_EVENTS && "$upstream(" in request["trail"]
            return record.source == request.source && record.event in ENTRY_EVENTS
        }

        /** Events up to this long before or after the record of a request may have affected that request. */
        private const val RELATED_WINDOW_MS = 5_000L

        /** Upstreams: registration, removal, unreadable registration, ejection and its end, state, suspected crash. */
        private val UPSTREAM_EVENTS = setOf("PW-6301", "PW-6302", "PW-6303", "PW-6304", "PW-6305", "PW-6306", "PW-6206")

        /** The request's own entry: lifecycle, failures, store and desired state. */
        private val ENTRY_EVENTS = setOf(
            "PW-6001",
            "PW-6002",
            "PW-6004",
            "PW-6006",
            "PW-6007",
            "PW-6101",
            "PW-6102",
            "PW-6103",
            "PW-6104",
        )
    }
}
