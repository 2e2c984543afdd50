package io.poplarwood.peer.forward

import kotlinx.coroutines.channels.ReceiveChannel

/**
 * A body in chunks. The channel is closed without a cause when the body is complete and with a [BodyLost] when it was
 * cut short.
 */
typealias Body = ReceiveChannel<ByteArray>
