package io.poplarwood.gateway.http

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/** Complete reply to one of the entry's own HTTP calls. */
class HttpReply(val status: Int, val body: ByteArray, val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE)
