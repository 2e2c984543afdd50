package io.poplarwood.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Stands before the HTTP codec: knows whether part of a head has arrived, and discards bytes after the last answer. */
internal class InboundByteHandler : ChannelInboundHandlerAdapter() {
    private var discarding = false

    private lateinit var state: CallerConnection

    /** Notes in [connection] when bytes arrive. */
    fun bindTo(connection: CallerConnection) {
        state = connection
    }

    /** Discards everything that still arrives. */
    fun discardInput() {
        discarding = true
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (discarding) {
            ReferenceCountUtil.release(msg)
            return
        }
        state.hasPartialHead = state.lastComplete >= state.lastStarted
        ctx.fireChannelRead(msg)
    }
}
