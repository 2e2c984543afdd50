package io.poplarwood.peer.link

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals and timeouts of a link.
 *
 * @property heartbeatInterval time without a sent frame after which a heartbeat is sent
 * @property silenceTimeout time without a received frame after which a link is closed; a link in use is then replaced
 * @property handshakeTimeout limit for connecting, and again for the handshake
 * @property idleTimeout time without a message after which a link is closed; with links kept open between all pairs of
 *   entries, heartbeats would be most of the peer traffic of a large cell
 * @property redialDelay shortest delay after a failed connection attempt; jitter adds up to the same again
 */
data class LinkTimings(
    val heartbeatInterval: Duration = 500.milliseconds,
    val silenceTimeout: Duration = 1_500.milliseconds,
    val handshakeTimeout: Duration = 1.seconds,
    val idleTimeout: Duration = 5.seconds,
    val redialDelay: Duration = 250.milliseconds,
)
