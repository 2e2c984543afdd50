package io.poplarwood.gateway.peer

/**
 * One entry of a zone, as the choice of those that take the zone's callers sees it.
 *
 * @property warm it has run for a while, so its code is compiled and it knows the upstreams
 * @property capacity requests a second that it can carry
 * @property requestsPerS requests a second that it takes now
 */
internal data class ActiveCandidate(
    val name: String,
    val callers: String,
    val warm: Boolean,
    val capacity: Int,
    val requestsPerS: Int,
)
