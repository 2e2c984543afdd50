package io.poplarwood.gateway.decision.crash

import kotlin.time.Duration

/**
 * Loss of an upstream that has crashed, or seems to have, while it executed a request. Times are readings of this
 * entry's ticker.
 *
 * @property id identifies this loss at all entries
 * @property since when the request was sent to [upstream] or, if that is later, when it lost another upstream
 * @property at when the request lost [upstream]
 * @property confirmed whether the upstream itself has ended, and not just a connection to it
 */
internal data class CrashLoss(
    val id: Long,
    val upstream: String,
    val exposedSince: Duration,
    val lostAt: Duration,
    val confirmed: Boolean,
)
