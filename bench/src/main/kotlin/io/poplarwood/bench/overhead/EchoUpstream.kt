package io.poplarwood.bench.overhead

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress

/** An upstream that answers every request at once with the same small body. */
internal class EchoUpstream : AutoCloseable {
    private val group =
        MultiThreadIoEventLoopGroup(2, DefaultThreadFactory(THREADS, true), NioIoHandler.newFactory())
    private val channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(ch: SocketChannel) {
                        ch.pipeline().addLast(HttpServerCodec(), Answer())
                    }
                },
            ).bind("127.0.0.1", 0)
            .sync()
            .channel()

    /** Port that it listens on. */
    val port: Int = (channel.localAddress() as InetSocketAddress).port

    override fun close() {
        channel.close().sync()
        group.shutdownGracefully()
    }

    private class Answer : SimpleChannelInboundHandler<HttpObject>() {
        @Deprecated("Netty's name for it")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, msg: HttpObject) {
            if (msg !is LastHttpContent) return
            val response =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY))
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.size)
            ctx.writeAndFlush(response)
        }
    }

    companion object {
        /** Prefix of its threads' names. */
        const val THREADS = "bench-upstream"
        private val BODY = ByteArray(256) { 'x'.code.toByte() }
    }
}
