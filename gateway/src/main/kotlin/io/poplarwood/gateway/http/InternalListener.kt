package io.poplarwood.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch

/**
 * HTTP listener of the entry itself at [address] (`ip:port`), such as readiness, directory, peers or metrics. Replies
 * with what [respond] returns for the target of the request, whatever its method.
 *
 * @param scope in which replies that take longer are awaited; its dispatcher is the event loop of [group]
 */
internal class InternalListener(
    private val group: EventLoopGroup,
    private val address: String,
    private val scope: CoroutineScope,
    private val respond: suspend (target: String) -> InternalReply,
) {
    /** Binds [address]; throws [ListenFailedException] if that fails. */
    suspend fun start() {
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(ch: Channel) {
                ch.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), RequestHandler())
            }
        }
        ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer)
            .bindTo(address)
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpRequest) {
            val keepAlive = HttpUtil.isKeepAlive(msg)
            if (msg.decoderResult().isFailure) {
                return write(ctx, InternalReply(BAD_REQUEST, TEXT_PLAIN, ByteArray(0)), keepAlive = false)
            }
            val target = msg.uri()
            scope.launch(start = CoroutineStart.UNDISPATCHED) { write(ctx, respond(target), keepAlive) }
        }

        private fun write(ctx: ChannelHandlerContext, reply: InternalReply, keepAlive: Boolean) {
            val content = Unpooled.wrappedBuffer(reply.body)
            val status = HttpResponseStatus.valueOf(reply.status)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType)
            HttpUtil.setContentLength(response, reply.body.size.toLong())
            HttpUtil.setKeepAlive(response, keepAlive)
            val writeFuture = ctx.writeAndFlush(response)
            if (!keepAlive) writeFuture.addListener(ChannelFutureListener.CLOSE)
        }

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private companion object {
        const val MAX_REQUEST_BYTES = 64 * 1024
        const val BAD_REQUEST = 400
        const val TEXT_PLAIN = "text/plain"
    }
}
