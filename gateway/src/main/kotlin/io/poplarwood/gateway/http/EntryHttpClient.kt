package io.poplarwood.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.coroutines.resume
import kotlin.time.Duration

/**
 * HTTP client for the entry's own calls: to the store, to peers and to the health checks of upstreams. Keeps idle
 * connections for reuse. Must be used from one event loop only.
 *
 * Replies name no call, so they are matched by their order on the connection. This relies on one reply to each call,
 * which the store and entries send. Upstreams may answer a health check twice: a second reply that arrives while no
 * call is in flight closes its connection, and one that arrives during the next call passes as the reply to that. Where
 * it matters, [HttpReply.earlierCallSentAt] tells from when such a reply may be, and [closeIdle] excludes it.
 */
class EntryHttpClient(group: EventLoopGroup, private val ticker: Ticker) {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()
    private val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)

    /**
     * Calls [method] [path] at [address] (`ip:port`) with a JSON [body]. Returns null if no complete reply was
     * received
     * within [timeout]; the call may have taken effect all the same.
     *
     * @param maxReplyBytes a reply with a longer body counts as no reply
     */
    suspend fun call(
        address: String,
        method: String,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        maxReplyBytes: Int = MAX_REPLY_BYTES,
    ): HttpReply? = withTimeoutOrNull(timeout) {
        exchange(address, request(address, method, path, body), ReplyCollector(maxReplyBytes) {})
    }

    /**
     * Gets [path] at [address] (`ip:port`) within limits on the progress of the reply, so that a large reply over a
     * slow link is received whole. Returns null if no complete reply was received.
     *
     * @param onBody called with the length of the body, as far as it is known, when the head arrives and with each
     *   piece of the body
     * @param maxReplyBytes a reply with a longer body counts as no reply
     */
    suspend fun get(
        address: String,
        path: String,
        limits: CallLimits,
        maxReplyBytes: Int = MAX_REPLY_BYTES,
        onBody: (Long) -> Unit = {},
    ): HttpReply? = withTimeoutOrNull(limits.total) {
        coroutineScope {
            val collector = ReplyCollector(maxReplyBytes, onBody)
            val reply = async { exchange(address, request(address, "GET", path, null), collector) }
            val stalled = launch { awaitStall(collector, limits) }
            select<HttpReply?> {
                reply.onAwait { it }
                stalled.onJoin { null }
            }.also { coroutineContext.cancelChildren() }
        }
    }

    /** Closes the idle connections to [address], so that no late reply on them passes as the reply to the next call. */
    fun closeIdle(address: String) {
        idle.remove(address)?.forEach { it.close() }
    }

    /** Returns when the head has not arrived in time, or no byte for the stall limit after it. */
    private suspend fun awaitStall(collector: ReplyCollector, limits: CallLimits) {
        withTimeoutOrNull(limits.head) { collector.headArrived.join() } ?: return
        var known = collector.arrivals
        var checksWithoutBytes = 0
        while (checksWithoutBytes < STALL_CHECKS) {
            delay(limits.stall / STALL_CHECKS)
            checksWithoutBytes = if (collector.arrivals == known) checksWithoutBytes + 1 else 0
            known = collector.arrivals
        }
    }

    private fun request(address: String, method: String, path: String, body: ByteArray?): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(body ?: ByteArray(0))
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path, content)
        request.headers().set(HttpHeaderNames.HOST, address)
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            HttpUtil.setContentLength(request, body.size.toLong())
        }
        return request
    }

    private suspend fun exchange(
        address: String,
        request: DefaultFullHttpRequest,
        collector: ReplyCollector,
    ): HttpReply? {
        val connection = idle[address]?.removeLastOrNull()?.takeIf { it.open } ?: connect(address) ?: return null
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { connection.close() }
            connection.send(request, collector) { reply ->
                if (reply != null && connection.open) idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
                if (continuation.isActive) continuation.resume(reply)
            }
        }
    }

    private suspend fun connect(address: String): ClientConnection? =
        suspendCancellableCoroutine { connect(address, it) }

    private fun connect(address: String, continuation: CancellableContinuation<ClientConnection?>) {
        val connection = ClientConnection(ticker)
        val initializer = object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(HttpClientCodec(), connection)
            }
        }
        val future = bootstrap.clone().handler(initializer).connect(UpstreamConnectionPool.socketAddress(address))
        continuation.invokeOnCancellation { future.channel().close() }
        future.addListener { attempt ->
            if (!continuation.isActive) return@addListener
            continuation.resume(connection.takeIf { attempt.isSuccess }) { _, unused, _ -> unused?.close() }
        }
    }

    private class ClientConnection(private val ticker: Ticker) : SimpleChannelInboundHandler<HttpObject>() {
        private var channel: Channel? = null
        private var collector: ReplyCollector? = null
        private var pendingReply: ((HttpReply?) -> Unit)? = null
        private var keepAlive = true
        private var endsWithConnection = false
        private var openedAt = Duration.INFINITE
        private var callSentAt: Duration? = null
        private var earlierCallSentAt: Duration? = null

        val open: Boolean get() = keepAlive && channel?.isActive ?: false

        fun send(request: DefaultFullHttpRequest, replyCollector: ReplyCollector, onReply: (HttpReply?) -> Unit) {
            pendingReply = onReply
            collector = replyCollector
            earlierCallSentAt = callSentAt
            callSentAt = ticker.now()
            channel?.writeAndFlush(request)
        }

        fun close() {
            keepAlive = false
            pendingReply = null
            channel?.close()
        }

        override fun channelActive(ctx: ChannelHandlerContext) {
            channel = ctx.channel()
            openedAt = ticker.now()
        }

        override fun channelRead0(ctx: ChannelHandlerContext, msg: HttpObject) {
            val reply = collector
            if (reply == null || pendingReply == null || !collect(reply, msg)) return abandon(ctx)
            if (msg is LastHttpContent) {
                // The decoder ends such a reply also when the connection is reset or closed on this side.
                if (endsWithConnection && !ctx.channel().isActive) return abandon(ctx)
                if (!keepAlive) ctx.close()
                collector = null
                complete(reply.reply(openedAt, earlierCallSentAt))
            }
        }

        /** Adds [msg] to [reply]; returns false if the reply cannot be used. */
        private fun collect(reply: ReplyCollector, msg: HttpObject): Boolean {
            if (msg.decoderResult().isFailure) return false
            if (msg is HttpResponse) {
                endsWithConnection = msg.endsWithConnection
                keepAlive = keepAlive && HttpUtil.isKeepAlive(msg)
                if (!reply.begin(msg, HttpUtil.getContentLength(msg, 0L))) return false
            }
            return msg !is HttpContent || reply.add(msg)
        }

        private fun abandon(ctx: ChannelHandlerContext) {
            keepAlive = false
            complete(null)
            ctx.close()
        }

        /** The other side has closed its sending side; what it sent before has been read. */
        override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
            if (event == ChannelInputShutdownEvent.INSTANCE) abandon(ctx)
        }

        override fun channelInactive(ctx: ChannelHandlerContext) = complete(null)

        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = abandon(ctx)

        private fun complete(reply: HttpReply?) {
            val callback = pendingReply
            pendingReply = null
            callback?.invoke(reply)
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val MAX_REPLY_BYTES = 16 * 1024 * 1024

        /**
         * The arrival of bytes is checked this often within the stall limit, so that one pause of the event loop does
         * not end a call whose bytes are waiting in the socket.
         */
        const val STALL_CHECKS = 4
    }
}
