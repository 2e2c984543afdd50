package io.poplarwood.standins.upstream

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import io.poplarwood.standins.net.reset
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Tracks the open connections of one upstream, enforces the connection limit, and silences or resets connections. */
internal class ConnectionTracker(private val limit: Int) {
    private val open = ConcurrentHashMap.newKeySet<Channel>()
    private val silent = ConcurrentHashMap.newKeySet<Channel>()
    val accepted = AtomicLong()
    val refused = AtomicLong()

    val count: Int get() = open.size

    /** Registers a new connection before its first read, or resets the connection when the limit is reached. */
    fun register(channel: Channel) {
        if (open.size >= limit) {
            refused.incrementAndGet()
            channel.reset()
            return
        }
        accepted.incrementAndGet()
        open.add(channel)
        channel.closeFuture().addListener {
            open.remove(channel)
            silent.remove(channel)
        }
        channel.pipeline().addFirst(SilencingHandler())
    }

    /**
     * Makes all open connections drop data in both directions while they stay open. Connections opened later work.
     * Returns the number of silenced connections.
     */
    fun silenceOpen(): Int {
        val silenced = open.toList()
        silent.addAll(silenced)
        return silenced.size
    }

    /** Closes every open connection with a TCP reset. */
    fun resetAll() = open.toList().forEach { it.reset() }

    private inner class SilencingHandler : ChannelDuplexHandler() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (context.channel() in silent) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
        }

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (context.channel() in silent) {
                ReferenceCountUtil.release(message)
                promise.trySuccess()
            } else {
                context.write(message, promise)
            }
        }
    }
}
