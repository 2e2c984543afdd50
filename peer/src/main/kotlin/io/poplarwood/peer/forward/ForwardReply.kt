package io.poplarwood.peer.forward

import io.poplarwood.peer.message.ForwardAnswerHead

/** Response to a forwarded request. */
class ForwardReply(val head: ForwardAnswerHead, val body: Body)
