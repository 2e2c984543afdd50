package io.poplarwood.peer

import io.poplarwood.peer.link.LinkTimings

/**
 * Settings of the links of one entry.
 *
 * @property bindHost address to listen at
 * @property bindPort port to listen at; 0 for any
 * @property secret shared secret of the cell
 * @property versions protocol versions spoken: the own one and the one before
 * @property maxQueuedFrames frames that wait for one entry; more are dropped
 * @property maxQueuedBytes bytes that wait for one entry; more are dropped
 */
class PeerSettings(
    val bindHost: String,
    val bindPort: Int,
    val secret: ByteArray,
    val versions: IntRange = PREVIOUS_VERSION..VERSION,
    val timings: LinkTimings = LinkTimings(),
    val maxQueuedFrames: Int = 1_024,
    val maxQueuedBytes: Int = 4 * 1024 * 1024,
) {
    companion object {
        /** Protocol version of this release. */
        const val VERSION = 2

        /** Protocol version of the release before; entries are updated one at a time. */
        const val PREVIOUS_VERSION = 1
    }
}
