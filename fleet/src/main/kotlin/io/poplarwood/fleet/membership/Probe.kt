package io.poplarwood.fleet.membership

import io.poplarwood.fleet.message.Peer
import kotlin.time.Duration

/**
 * A ping that waits for its answer.
 *
 * @property target the member that was pinged; null for an address whose entry is unknown
 * @property onBehalf the entry that asked for the ping, with its nonce; null for an own ping
 */
internal class Probe(val target: Peer?, val sentAt: Duration, val onBehalfOf: Pair<Peer, Long>? = null) {
    var indirectSent = false

    /** True for a ping in turn, which all members get alike. */
    var periodic = false

    /** A ping of a quorum round does not decide about its target. */
    var affectsState = true
}
