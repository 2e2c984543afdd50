package io.poplarwood.gateway.route

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the size and duration of a caller's requests and on idle connections. */
data class CallerLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Long = 64L * 1024 * 1024,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)
