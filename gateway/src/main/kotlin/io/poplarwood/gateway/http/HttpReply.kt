package io.poplarwood.gateway.http

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders

/** A whole answer to a call of the entry's own. */
class HttpReply(val status: Int, val body: ByteArray, val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE)
