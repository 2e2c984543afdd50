package io.poplarwood.gateway.directory

import kotlin.time.Duration

/**
 * State of this entry as seen by its directory.
 *
 * @property serving whether this entry accepts requests and is not stopping
 * @property uptime time since the start of this entry
 * @property requestsPerS rate of requests that this entry receives
 * @property cutOff whether this entry cannot reach upstreams that others reach
 */
internal data class OwnEntry(
    val serving: Boolean,
    val uptime: Duration,
    val requestsPerS: Int,
    val cutOff: Boolean = false,
)
