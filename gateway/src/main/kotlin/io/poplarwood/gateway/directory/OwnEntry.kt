package io.poplarwood.gateway.directory

import kotlin.time.Duration

/**
 * This entry as its directory sees it.
 *
 * @property serving it takes requests and is not stopping
 * @property up time since it started
 */
internal data class OwnEntry(val serving: Boolean, val up: Duration, val requestsPerS: Int)
