package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration

/**
 * An upstream that has ended, or seems to have, while it ran a request. Times are readings of this entry's ticker.
 *
 * @property id names this loss at all entries
 * @property since when the request was sent to [upstream] or, if that is later, lost another upstream
 * @property at when the request lost [upstream]
 * @property confirmed the upstream has ended, and not just a connection to it
 */
internal data class CrashLoss(
    val id: Long,
    val upstream: String,
    val since: Duration,
    val at: Duration,
    val confirmed: Boolean,
)
