package io.poplarwood.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Stands before the HTTP codec: knows whether part of a head has arrived, and discards bytes after the last answer. */
internal class ByteWatch : ChannelInboundHandlerAdapter() {
    private var discarding = false

    /** True when bytes arrived since the last complete head. */
    var partialHead: Boolean = false
        private set

    /** Notes that a complete head was taken from the bytes. */
    fun headTaken() {
        partialHead = false
    }

    /** Discards everything that still arrives. */
    fun discard() {
        discarding = true
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (discarding) {
            ReferenceCountUtil.release(msg)
            return
        }
        partialHead = true
        ctx.fireChannelRead(msg)
    }
}
