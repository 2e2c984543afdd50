package io.poplarwood.peer.forward

import java.io.IOException

/** A request or response body ended before its last chunk. */
class BodyTruncatedException : IOException("body truncated before its last chunk")
