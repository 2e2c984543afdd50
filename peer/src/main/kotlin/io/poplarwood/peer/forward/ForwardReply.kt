package io.poplarwood.peer.forward

import io.poplarwood.peer.message.ForwardAnswerHead

/** The answer to a forwarded request. */
class ForwardReply(val head: ForwardAnswerHead, val body: Body)
