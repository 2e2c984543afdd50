package io.poplarwood.decision.routing

import io.poplarwood.api.id.UpstreamId
import kotlin.time.Duration

/**
 * What a router knows about one upstream, for display.
 *
 * @property limit requests this entry may have in flight there now
 * @property latency smoothed latency; zero before the first answer
 * @property connections connections this entry may open there
 */
data class UpstreamRow(
    val id: UpstreamId,
    val state: UpstreamState,
    val inFlight: Int,
    val limit: Int,
    val latency: Duration,
    val connections: Int = 0,
)
