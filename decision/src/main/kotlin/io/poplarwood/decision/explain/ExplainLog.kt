package io.poplarwood.decision.explain

import io.poplarwood.api.id.RequestId

/**
 * The latest decisions of one entry, one record per request; beyond [capacity], the oldest is dropped.
 *
 * Reads may come from other threads than writes.
 */
class ExplainLog(private val capacity: Int = DEFAULT_CAPACITY) {
    private val records = object : LinkedHashMap<RequestId, ExplainRecord>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RequestId, ExplainRecord>): Boolean =
            size > capacity
    }

    val size: Int get() = synchronized(records) { records.size }

    /** The record of [request], or null when it is unknown or was dropped. */
    fun find(request: RequestId): ExplainRecord? = synchronized(records) { records[request] }

    /** Stores [record], replacing an earlier one of the same request. */
    internal fun put(record: ExplainRecord) {
        synchronized(records) { records[record.request] = record }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}
