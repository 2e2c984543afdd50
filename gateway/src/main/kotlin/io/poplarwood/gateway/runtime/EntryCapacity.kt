package io.poplarwood.gateway.runtime

import io.poplarwood.gateway.settings.ProcessLimits

/** What an entry can carry, as far as the size of its VM tells. */
internal object EntryCapacity {
    /** Requests a second that an entry with [limits] carries: what its processor or its link bears. */
    fun of(limits: ProcessLimits): Int {
        val processor = limits.processorShare * limits.processorSpeed * REQUESTS_PER_CORE_S
        val link = limits.linkMbps * BYTES_PER_MEGABIT / BYTES_PER_REQUEST
        return minOf(processor, link).toInt().coerceAtLeast(1)
    }

    /** Each request also brings news of load to read and to send. */
    private const val REQUESTS_PER_CORE_S = 170.0
    private const val BYTES_PER_MEGABIT = 125_000.0

    /** Bytes of a usual request and its answer, each of which passes the link twice. */
    private const val BYTES_PER_REQUEST = 12_000.0
}
