package io.poplarwood.peer.forward

import io.poplarwood.peer.message.ForwardResponseHead

/** Response to a forwarded request. */
class ForwardResponse(val head: ForwardResponseHead, val body: Body)
