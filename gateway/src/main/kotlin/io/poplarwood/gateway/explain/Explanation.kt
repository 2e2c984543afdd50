package io.poplarwood.gateway.explain

import kotlin.math.abs

/**
 * What the logs of all entries tell of one request.
 *
 * @property records its own lines, and those about its upstreams, its entry's store and starts near it, by time
 * @property causes a sentence for each of its own lines
 */
class Explanation private constructor(val records: List<LogRecord>, val causes: List<String>) {
    companion object {
        /** Explains the request with [id]; null when no line names it. */
        fun of(id: String, all: List<LogRecord>): Explanation? {
            val own = all.filter { it["requestId"] == id }
            if (own.isEmpty()) return null
            val near = all.filter { record -> own.any { concerns(record, it) } }
            val causes = own.map { "${it.source}: ${Cause.of(it["reason"])}" }
            return Explanation((own + near).distinct().sortedBy { it.atMs }, causes)
        }

        private fun concerns(record: LogRecord, request: LogRecord): Boolean {
            if (abs(record.atMs - request.atMs) > NEAR_MS) return false
            val upstream = record["upstream"]
            if (upstream.isNotEmpty()) return record.event in UPSTREAM_EVENTS && "$upstream(" in request["trail"]
            return record.source == request.source && record.event in ENTRY_EVENTS
        }

        /** Around a request, what happened this long before or after it may have decided it. */
        private const val NEAR_MS = 5_000L

        /** What was believed of upstreams: registered, gone, unreadable, resting, back, a suspect crash. */
        private val UPSTREAM_EVENTS = setOf("PW-6301", "PW-6302", "PW-6303", "PW-6304", "PW-6305", "PW-6306", "PW-6206")

        /** Starts, stops, the store and the desired state at the entry itself. */
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
