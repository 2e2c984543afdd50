package io.poplarwood.peer.link

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times of a link.
 *
 * @property heartbeat pause between heartbeats
 * @property silence time without a frame after which a link is closed and opened anew
 * @property handshake time for connecting and the handshake
 * @property idle time without a message after which a link is closed; heartbeats between all pairs would be most of
 *   the traffic of a large cell
 * @property redial pause after a failed attempt, before jitter
 */
data class LinkTimings(
    val heartbeat: Duration = 500.milliseconds,
    val silence: Duration = 1_500.milliseconds,
    val handshake: Duration = 1.seconds,
    val idle: Duration = 5.seconds,
    val redial: Duration = 250.milliseconds,
)
