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

/**
 * HTTP client for the entry's own calls: to the store, to peers and to the health checks of upstreams. Keeps idle
 * connections for reuse. Must be used from one event loop only.
 */
class EntryHttpClient(group: EventLoopGroup) {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()
    private val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)

    /**
     * Calls [method] [path] at [address] (`ip:port`) with a JSON [body]. Returns null if no complete reply was received
     * within [timeout]; the call may have taken effect all the same.
     *
     * @param maxReplyBytes a reply with a longer body counts as no reply; a reused connection keeps the limit of the
     *   call that opened it
     */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        maxReplyBytes: Int = MAX_REPLY_BYTES,
    ): HttpReply? = withTimeoutOrNull(timeout) {
        val connection = idle[address]?.removeLastOrNull()?.takeIf { it.open } ?: connect(address, maxReplyBytes)
        connection?.call(address, method, path, body)
    }

    private suspend fun ClientConnection.call(
        address: String,
        method: String,
        path: String,
        body: ByteArray?,
    ): HttpReply? =
        suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { close() }
            send(address, method, path, body) { reply ->
                if (reply != null && open) idle.getOrPut(address) { ArrayDeque() }.addLast(this)
                if (continuation.isActive) continuation.resume(reply)
            }
        }

    private suspend fun connect(address: String, maxReplyBytes: Int): ClientConnection? =
        suspendCancellableCoroutine { connect(address, maxReplyBytes, it) }

    private fun connect(address: String, maxReplyBytes: Int, continuation: CancellableContinuation<ClientConnection?>) {
        val connection = ClientConnection()
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(maxReplyBytes), connection)
            }
        }
        val future = bootstrap.clone().handler(initializer).connect(UpstreamConnectionPool.socketAddress(address))
        continuation.invokeOnCancellation { future.channel().close() }
        future.addListener { if (continuation.isActive) continuation.resume(connection.takeIf { _ -> it.isSuccess }) }
    }

    private class ClientConnection : SimpleChannelInboundHandler<FullHttpResponse>() {
        private var channel: Channel? = null
        private var pendingReply: ((HttpReply?) -> Unit)? = null
        private var keepAlive = true

        val open: Boolean get() = keepAlive && channel?.isActive ?: false

        fun send(address: String, method: String, path: String, body: ByteArray?, onReply: (HttpReply?) -> Unit) {
            pendingReply = onReply
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
            keepAlive = false
            pendingReply = null
            channel?.close()
        }

        override fun channelActive(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, msg: FullHttpResponse) {
            val body = ByteArray(msg.content().readableBytes())
            msg.content().readBytes(body)
            keepAlive = keepAlive && HttpUtil.isKeepAlive(msg) && pendingReply != null
            if (!keepAlive) ctx.close()
            complete(HttpReply(msg.status().code(), body, msg.headers()))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = complete(null)

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            keepAlive = false
            ctx.close()
        }

        private fun complete(reply: HttpReply?) {
            val callback = pendingReply
            pendingReply = null
            callback?.invoke(reply)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val MAX_REPLY_BYTES = 16 * 1024 * 1024
    }
}
