package io.poplarwood.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.resume
import kotlin.time.Duration

/** Makes the entry's own HTTP calls: to the store, to peers, to ask upstreams for their load. One event loop only. */
class HttpCaller(group: EventLoopGroup) {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()
    private val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)

    /**
     * Calls [method] [path] at [address] (`ip:port`) with a JSON [body]. Null when no whole answer came within [limit];
     * the call may have taken effect.
     *
     * @param mostBytes a longer answer counts as none
     */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        body: ByteArray?,
        limit: Duration,
        mostBytes: Int = MAX_REPLY_BYTES,
    ): HttpReply? = withTimeoutOrNull(limit) {
        val link = idle[address]?.removeLastOrNull()?.takeIf { it.open } ?: connect(address, mostBytes)
        link?.call(address, method, path, body)
    }

    private suspend fun ClientConnection.call(address: String, method: String, path: String, body: ByteArray?): HttpReply? =
        suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { close() }
            send(address, method, path, body) { reply ->
                if (reply != null && open) idle.getOrPut(address) { ArrayDeque() }.addLast(this)
                if (continuation.isActive) continuation.resume(reply)
            }
        }

    private suspend fun connect(address: String, mostBytes: Int): ClientConnection? =
        suspendCancellableCoroutine { connect(address, mostBytes, it) }

    private fun connect(address: String, mostBytes: Int, continuation: CancellableContinuation<ClientConnection?>) {
        val link = ClientConnection()
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(mostBytes), link)
            }
        }
        val future = bootstrap.clone().handler(initializer).connect(UpstreamLinks.socketAddress(address))
        continuation.invokeOnCancellation { future.channel().close() }
        future.addListener { if (continuation.isActive) continuation.resume(link.takeIf { _ -> it.isSuccess }) }
    }

    private class ClientConnection : SimpleChannelInboundHandler<FullHttpResponse>() {
        private var channel: Channel? = null
        private var done: ((HttpReply?) -> Unit)? = null
        private var keep = true

        val open: Boolean get() = keep && channel?.isActive ?: false

        fun send(address: String, method: String, path: String, body: ByteArray?, whenDone: (HttpReply?) -> Unit) {
            done = whenDone
            val content = Unpooled.wrappedBuffer(body ?: ByteArray(0))
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content)
            request.headers().set(HttpHeaderNames.HOST, address)
            if (body != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                HttpUtil.setContentLength(request, body.size.toLong())
            }
            channel?.writeAndFlush(request)
        }

        fun close() {
            keep = false
            done = null
            channel?.close()
        }

        override fun channelActive(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpResponse) {
            val body = ByteArray(msg.content().readableBytes())
            msg.content().readBytes(body)
            keep = keep && HttpUtil.isKeepAlive(msg) && done != null
            if (!keep) ctx.close()
            finish(HttpReply(msg.status().code(), body, msg.headers()))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = finish(null)

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            keep = false
            ctx.close()
        }

        private fun finish(reply: HttpReply?) {
            val tell = done
            done = null
            tell?.invoke(reply)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val MAX_REPLY_BYTES = 16 * 1024 * 1024
    }
}
