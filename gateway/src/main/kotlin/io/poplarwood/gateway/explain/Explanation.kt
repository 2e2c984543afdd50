package io.poplarwood.gateway.explain

import io.poplarwood.gateway.log.GatewayEvent
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
            if (upstream.isNotEmpty()) return record.event in UPSTREAM_EVENTS && wasTried(upstream, request)
            return record.source == request.source && record.event in ENTRY_EVENTS
        }

        private fun wasTried(upstream: String, request: LogRecord) =
            request["trail"].split(' ').any { it.startsWith("$upstream(") }

        /** Events up to this long before or after the record of a request may have affected that request. */
        private const val RELATED_WINDOW_MS = 5_000L

        /** Events of an upstream that was tried. */
        private val UPSTREAM_EVENTS = idsOf(
            GatewayEvent.UPSTREAM_KNOWN,
            GatewayEvent.UPSTREAM_GONE,
            GatewayEvent.UPSTREAM_UNREADABLE,
            GatewayEvent.UPSTREAM_STATE,
            GatewayEvent.CRASH_SUSPECT,
        )

        /** The request's own entry: lifecycle, failures, memory, store and desired state. */
        private val ENTRY_EVENTS = idsOf(
            GatewayEvent.STARTED,
            GatewayEvent.READY,
            GatewayEvent.STOPPING,
            GatewayEvent.RELOADED,
            GatewayEvent.FAILED,
            GatewayEvent.ANSWERS_DROPPED,
            GatewayEvent.CUT_OFF,
            GatewayEvent.CUT_OFF_ENDED,
            GatewayEvent.STORE_LOST,
            GatewayEvent.STORE_BACK,
            GatewayEvent.STATE_IN_FORCE,
            GatewayEvent.STATE_UNREADABLE,
        )

        private fun idsOf(vararg events: GatewayEvent): Set<String> = events.mapTo(HashSet()) { it.id }
    }
}
