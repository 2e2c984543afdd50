package io.poplarwood.standins.upstream

import kotlinx.serialization.Serializable

/**
 * Statistics of a stand-in upstream since its creation; crashes do not reset them.
 *
 * @property started requests that acquired a slot
 * @property completed requests that ran until their response was sent
 * @property shed requests refused because no slot was free
 * @property drained requests refused while draining
 * @property cancelled requests whose connection closed during the run
 * @property cutUploads requests that did not run because the body was truncated
 * @property deadlines requests aborted at their deadline
 * @property probes requests to the health and load endpoints
 * @property connections accepted connections
 * @property connectionsRefused connections reset because of the connection limit
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
