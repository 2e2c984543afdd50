package io.poplarwood.gateway.http

/** Complete reply of one of the entry's own listeners. */
class InternalReply(val status: Int, val contentType: String, val body: ByteArray)
