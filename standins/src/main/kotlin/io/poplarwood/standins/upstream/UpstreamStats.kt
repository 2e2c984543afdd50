package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * What a stand-in upstream saw since its start; crashes do not reset it.
 *
 * @property started requests that got a slot
 * @property completed requests that ran to their answer
 * @property shed requests refused for want of a slot
 * @property drained requests refused while draining
 * @property cancelled requests whose connection closed while they ran
 * @property cutUploads requests whose body ended early; they did not run
 * @property deadlines requests given up at their deadline
 * @property probes requests to the health and load endpoints
 * @property connections connections accepted
 * @property connectionsRefused connections closed because of the connection limit
 */
@Serializable
data class UpstreamStats(
    val inFlight: Int,
    val maxInFlight: Int,
    val openConnections: Int,
    val started: Long,
    val completed: Long,
    val shed: Long,
    val drained: Long,
    val cancelled: Long,
    val cutUploads: Long,
    val deadlines: Long,
    val probes: Long,
    val connections: Long,
    val connectionsRefused: Long,
    val crashes: Long,
)
