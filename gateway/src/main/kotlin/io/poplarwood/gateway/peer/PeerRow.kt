package io.poplarwood.gateway.peer

import kotlin.time.Duration

/** Another entry as this one knows it. Times are readings of this entry's ticker. */
internal class PeerRow(val name: String, var record: PeerRecord) {
    /** Newest hello; null until one came. */
    var hello: PeerMessage.Hello? = null
    var heardAt: Duration = -Duration.INFINITE
    var silent = true

    /** Whether callers can be sent there. */
    val serving: Boolean get() = !silent && hello?.let { it.serving && !it.stopping } ?: false
}
