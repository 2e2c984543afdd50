package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import kotlin.time.Duration

/**
 * What a router knows about one upstream, for display.
 *
 * @property limit requests that this entry may have in flight at the upstream now
 * @property latency smoothed latency; zero before the first response
 * @property connections connections that this entry may open to the upstream
 */
data class UpstreamRow(
    val id: UpstreamId,
    val state: UpstreamState,
    val inFlight: Int,
    val limit: Int,
    val latency: Duration,
    val connections: Int = 0,
)
