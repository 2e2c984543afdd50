package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses of an upstream; [answersHead] says that the next one answers a HEAD request and has no body. */
internal class UpstreamResponseDecoder : HttpResponseDecoder() {
    var answersHead: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = answersHead || super.isContentAlwaysEmpty(msg)
}
