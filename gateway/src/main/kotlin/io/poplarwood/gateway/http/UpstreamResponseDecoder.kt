package io.poplarwood.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes responses of an upstream; [answersHead] says that the next one answers a HEAD request and has no body. */
internal class UpstreamResponseDecoder : HttpResponseDecoder() {
    var answersHead: Boolean = false

    private var withinResponse = false

    /** Whether bytes have arrived behind the last whole response, also if they are not a whole head yet. */
    val hasBegunResponse: Boolean get() = withinResponse || actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = answersHead || super.isContentAlwaysEmpty(msg)

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val from = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        if (buffer.readerIndex() != from) withinResponse = true
        if (out.lastOrNull() is LastHttpContent) withinResponse = false
    }
}
