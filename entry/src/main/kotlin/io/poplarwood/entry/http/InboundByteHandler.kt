package io.poplarwood.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Channel handler before the HTTP codec: records whether part of a request head has arrived, and discards input after
 * the last response.
 */
internal class InboundByteHandler : ChannelInboundHandlerAdapter() {
    private var discarding = false

    private lateinit var state: CallerConnection

    /** Sets the [connection] whose state incoming bytes update; called before the first read. */
    fun bindTo(connection: CallerConnection) {
        state = connection
    }

    /** Discards all further input. */
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
