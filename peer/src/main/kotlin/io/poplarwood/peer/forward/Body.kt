package io.poplarwood.peer.forward

import kotlinx.coroutines.channels.ReceiveChannel

/**
 * A request or response body as a stream of chunks. The channel is closed without a cause when the body is complete and
 * with a [BodyTruncatedException] when the body is truncated.
 */
typealias Body = ReceiveChannel<ByteArray>
