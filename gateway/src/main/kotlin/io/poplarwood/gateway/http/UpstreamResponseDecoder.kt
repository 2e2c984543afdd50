package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes answers of an upstream; [bodiless] tells it that the request was a HEAD. */
internal class UpstreamResponseDecoder : HttpResponseDecoder() {
    var bodiless: Boolean = false

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = bodiless || super.isContentAlwaysEmpty(msg)
}
