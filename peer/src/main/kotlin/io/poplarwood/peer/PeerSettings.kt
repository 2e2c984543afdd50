package io.poplarwood.peer

import io.poplarwood.peer.link.LinkTimings

/**
 * Settings of one entry's links to other entries.
 *
 * @property bindHost address that the listener binds to
 * @property bindPort port that the listener binds to; 0 for any free port
 * @property secret shared secret of the cell
 * @property versions supported protocol versions: by default that of this release and that of the previous release
 * @property maxQueuedFrames largest number of frames queued for one entry; further messages are dropped
 * @property maxQueuedBytes largest number of bytes queued for one entry; further messages are dropped
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

        /** Protocol version of the previous release, still supported because entries are upgraded one at a time. */
        const val PREVIOUS_VERSION = 1
    }
}
