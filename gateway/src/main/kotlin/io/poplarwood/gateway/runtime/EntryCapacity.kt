package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.settings.ProcessLimits

/** Estimates the capacity of an entry from the size of its VM. */
internal object EntryCapacity {
    /** Requests per second that an entry with [limits] can serve: the lower of its processor and link limits. */
    fun of(limits: ProcessLimits): Int {
        val processor = limits.processorShare * limits.processorSpeed * REQUESTS_PER_CORE_SECOND
        val link = limits.linkMbps * BYTES_PER_MEGABIT / BYTES_PER_REQUEST
        return minOf(processor, link).toInt().coerceAtLeast(1)
    }

    /** Requests per second that one core serves, including the load updates received and sent for each request. */
    private const val REQUESTS_PER_CORE_SECOND = 170.0
    private const val BYTES_PER_MEGABIT = 125_000.0

    /** Bytes of a typical request and its reply on the link, which both cross twice. */
    private const val BYTES_PER_REQUEST = 12_000.0
}
