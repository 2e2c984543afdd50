package io.poplarwood.fleet.membership

import io.poplarwood.fleet.message.Peer
import kotlin.time.Duration

/**
 * A ping that has not been answered yet.
 *
 * @property target the member that was pinged; null for an address whose entry is unknown
 * @property onBehalfOf the entry that requested an indirect ping, with the nonce of its request; null for other pings
 */
internal class Probe(val target: Peer?, val sentAt: Duration, val onBehalfOf: Pair<Peer, Long>? = null) {
    /** True once other members were requested to ping the target. */
    var indirectSent = false

    /** True for a ping of the periodic rotation over all members. */
    var periodic = false

    /** False when a missing answer must not make the target suspect, as with pings of a quorum round. */
    var affectsState = true
}
