package io.poplarwood.gateway.http

/** A whole answer of one of the entry's own listeners. */
class InternalReply(val status: Int, val contentType: String, val body: ByteArray)
