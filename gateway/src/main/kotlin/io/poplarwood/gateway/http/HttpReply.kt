package io.poplarwood.gateway.http

/** A whole answer to a call of the entry's own. */
class HttpReply(val status: Int, val body: ByteArray)
