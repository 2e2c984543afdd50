package io.poplarwood.entry.operator

import kotlinx.serialization.Serializable

/** One upstream as the responding entry sees it; [state] is live, warming, suspect or leaving. */
@Serializable
data class UpstreamStatus(
    val service: String,
    val address: String,
    val state: String,
    val inFlight: Int,
    val limit: Int,
    val latencyMs: Double,
)
