package io.poplarwood.standins.net

import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.netty.channel.Channel
import io.netty.channel.ChannelOption

/** The connection on which this call arrived. */
internal fun RoutingCall.channel(): Channel = (pipelineCall.engineCall as NettyApplicationCall).context.channel()

/** Closes the connection with a TCP reset, so that the other side sees a failure instead of an end of stream. */
internal fun Channel.reset() {
    config().setOption(ChannelOption.SO_LINGER, 0)
    close()
}
