package io.poplarwood.peer.link

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times of a link.
 *
 * @property heartbeatInterval pause between heartbeats
 * @property silenceTimeout time without a frame after which a link is closed and opened anew
 * @property handshakeTimeout time for connecting and the handshake
 * @property idleTimeout time without a message after which a link is closed; heartbeats between all pairs would be
 *   most of the traffic of a large cell
 * @property redialDelay pause after a failed attempt, before jitter
 */
data class LinkTimings(
    val heartbeatInterval: Duration = 500.milliseconds,
    val silenceTimeout: Duration = 1_500.milliseconds,
    val handshakeTimeout: Duration = 1.seconds,
    val idleTimeout: Duration = 5.seconds,
    val redialDelay: Duration = 250.milliseconds,
)
