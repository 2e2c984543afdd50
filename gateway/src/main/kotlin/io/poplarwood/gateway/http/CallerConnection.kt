package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One connection of a caller. Pipelined requests run concurrently if all of them are retryable; any other request
 * starts only after the requests before it have been answered. Responses are sent in the order of the requests.
 *
 * A request is received completely before it is routed, so that a truncated upload never reaches an upstream and an
 * upload occupies no slot of an upstream while it is received.
 */
internal class CallerConnection(
    private val listener: CallerListener,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val exchanges = ExchangeQueue { listener.isRetryable(it.host, it.target) }
    private var incoming: IncomingRequest? = null
    private var closing = false
    private var idleSince = ticker.now()

    /** Whether a request is queued, running or being received. */
    val busy: Boolean get() = incoming != null || !exchanges.isEmpty

    /** Time since the last response was sent, or since the connection was opened. */
    val idleFor: Duration get() = ticker.now() - idleSince

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        listener.onOpened(this)
        scheduleIdleCheck()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.onClosed(this)
        closing = true
        dropQueued()
        exchanges.cancelActive()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject && !closing) handle(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    /** Closes the connection at once; meant for idle connections. */
    fun close() {
        closing = true
        context.close()
    }

    private fun handle(msg: HttpObject) {
        if (msg.decoderResult().isFailure) return refuse(Framing.statusForDecodeFailure(msg.decoderResult().cause()))
        if (msg is HttpRequest) {
            val errorStatus = acceptHead(msg)
            if (errorStatus != null) return refuse(errorStatus)
        }
        if (msg is HttpContent) collect(msg)
    }

    /**
     * Reserves memory for the body of [request] and starts to receive it. Returns the error status if the request is
     * refused, or null.
     */
    private fun acceptHead(request: HttpRequest): Int? {
        Framing.statusForHead(request)?.let { return it }
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > listener.limits.maxBodyBytes) return CONTENT_TOO_LARGE
        if (!listener.bodyMemory.tryReserve(length)) return SERVICE_UNAVAILABLE
        incoming = IncomingRequest(request, length, ticker.now())
        if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(ResponseEncoding.continueResponse())
        return null
    }

    private fun collect(content: HttpContent) {
        val request = incoming ?: return
        val bytes = content.content().readableBytes().toLong()
        if (request.body.size + bytes > listener.limits.maxBodyBytes) return refuse(CONTENT_TOO_LARGE)
        val excess = request.body.size + bytes - request.reservedBytes
        if (excess > 0) {
            if (!listener.bodyMemory.tryReserve(excess)) return refuse(SERVICE_UNAVAILABLE)
            request.reservedBytes += excess
        }
        request.body.append(content.content())
        if (content !is LastHttpContent) return
        incoming = null
        exchanges.enqueue(request)
        startQueued()
        updateAutoRead()
    }

    /** Starts the queued requests that may run now; one at a time if connections are closed after each response. */
    private fun startQueued() {
        while (!closing) {
            val exchange = exchanges.startNext(exclusive = listener.closesAfterResponse) ?: return
            val job = scope.launch { run(exchange) }
            exchange.job = job
            // A job that is cancelled before it starts never runs.
            exchange.request?.let { request -> job.invokeOnCompletion { releaseMemory(request) } }
        }
    }

    private suspend fun run(exchange: PipelinedExchange) {
        val request = checkNotNull(exchange.request)
        try {
            exchange.answer =
                listener.serve(request.toCallerRequest(listener.names, callerAddress(context), listener.fromEntries))
        } finally {
            releaseMemory(request)
        }
        sendCompleted()
        startQueued()
        updateAutoRead()
    }

    private fun releaseMemory(request: IncomingRequest) {
        listener.bodyMemory.release(request.reservedBytes)
        request.reservedBytes = 0
    }

    /** Sends the responses that are complete and whose predecessors have been sent. */
    private fun sendCompleted() {
        while (context.channel().isActive) {
            val first = exchanges.removeFirstCompleted() ?: return
            idleSince = ticker.now()
            if (writeResponse(first.request, checkNotNull(first.answer))) return finish()
        }
    }

    /** Sends [answer]; returns whether it is the last response on this connection. */
    private fun writeResponse(request: IncomingRequest?, answer: CallerResponse): Boolean {
        // Requests that were started after this one still get their responses, also while the entry stops.
        val isLast =
            request?.keepAlive != true || (exchanges.noneActive && (answer.close || listener.closesAfterResponse))
        val response = ResponseEncoding.encode(answer)
        if (isLast) response.headers().set(HttpHeaderNames.CONNECTION, "close")
        if (request?.method == "HEAD") response.content().clear()
        context.writeAndFlush(response)
        return isLast
    }

    private fun finish() {
        closing = true
        dropQueued()
        exchanges.cancelActive()
        closeAfterLinger()
    }

    private fun updateAutoRead() {
        if (!closing) context.channel().config().isAutoRead = !exchanges.full
    }

    private fun refuse(status: Int) {
        closing = true
        dropQueued()
        val retryAfter = if (status == SERVICE_UNAVAILABLE) RETRY_AFTER else null
        exchanges.enqueueRefusal(CallerResponse(status, null, "{\"status\":$status}".encodeToByteArray(), retryAfter))
        sendCompleted()
    }

    /**
     * Closes the sending side and discards received bytes for [LINGER_TIME] before the connection is closed. Closing a
     * socket with unread bytes resets the connection, and the reset can destroy a response that is still in transit.
     */
    private fun closeAfterLinger() {
        val channel = context.channel()
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(
            ChannelFutureListener {
                (channel as? SocketChannel)?.shutdownOutput()
                channel.config().isAutoRead = true
                context.executor().schedule({ channel.close() }, LINGER_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
    }

    private fun scheduleIdleCheck() {
        val periodMs = listener.limits.headerTimeout.inWholeMilliseconds
        context.executor().schedule(::checkIdle, periodMs, TimeUnit.MILLISECONDS)
    }

    private fun checkIdle() {
        if (!context.channel().isActive) return
        val stalled = incoming?.let { ticker.now() - it.arrivedAt > listener.limits.idleTimeout } ?: false
        if (stalled || (!busy && idleFor > listener.limits.idleTimeout)) close() else scheduleIdleCheck()
    }

    private fun dropQueued() {
        (exchanges.dropQueued() + listOfNotNull(incoming)).forEach(::releaseMemory)
        incoming = null
    }

    private fun callerAddress(ctx: ChannelHandlerContext): String =
        (ctx.channel().remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()

    private companion object {
        const val CONTENT_TOO_LARGE = 413
        const val SERVICE_UNAVAILABLE = 503
        val LINGER_TIME = 500.milliseconds
        val RETRY_AFTER = 200.milliseconds
    }
}
