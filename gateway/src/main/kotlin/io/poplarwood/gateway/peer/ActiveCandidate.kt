package io.poplarwood.gateway.peer

/**
 * One entry of a zone, as a candidate for taking the callers of the zone.
 *
 * @property callers `ip:port` for callers
 * @property warm whether the entry has run long enough for its code to be compiled and the upstreams to be known
 * @property capacity requests per second that the entry can carry
 * @property requestsPerS requests per second that the entry receives now
 * @property cutOff whether the entry cannot reach upstreams that others reach
 */
internal data class ActiveCandidate(
    val name: String,
    val callers: String,
    val warm: Boolean,
    val capacity: Int,
    val requestsPerS: Int,
    val cutOff: Boolean = false,
)
