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
 * One connection of a caller. Requests that may be repeated are run side by side when a caller does not wait for
 * answers; any other begins once those before it are answered. Answers leave in the order of the requests.
 *
 * A request is taken whole before anything decides about it, so that an upload that is cut never reaches an upstream
 * and holds no slot while it arrives.
 */
internal class CallerConnection(
    private val listener: CallerListener,
    private val scope: CoroutineScope,
    private val ticker: Ticker,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val requests = ExchangeQueue { listener.mayRepeat(it.host, it.target) }
    private var arriving: IncomingRequest? = null
    private var closing = false
    private var idleSince = ticker.now()

    /** Whether a request is being answered or has begun to arrive. */
    val busy: Boolean get() = arriving != null || !requests.isEmpty

    /** Time since the last answer, or since the connection was opened. */
    val idleFor: Duration get() = ticker.now() - idleSince

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        listener.opened(this)
        watchIdle()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.closed(this)
        closing = true
        dropWaiting()
        requests.cancelBegun()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject && !closing) take(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    /** Ends an idle connection. */
    fun close() {
        closing = true
        context.close()
    }

    private fun take(msg: HttpObject) {
        if (msg.decoderResult().isFailure) return refuse(Framing.statusOf(msg.decoderResult().cause()))
        if (msg is HttpRequest) {
            val fault = accept(msg)
            if (fault != null) return refuse(fault)
        }
        if (msg is HttpContent) collect(msg)
    }

    /** Status of the refusal when the head of [request] is not acceptable. */
    private fun accept(request: HttpRequest): Int? {
        Framing.faultOf(request)?.let { return it }
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > listener.limits.maxBodyBytes) return TOO_LARGE
        if (!listener.bodies.take(length)) return UNAVAILABLE
        arriving = IncomingRequest(request, length, ticker.now())
        if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(ResponseEncoding.goOn())
        return null
    }

    private fun collect(content: HttpContent) {
        val request = arriving ?: return
        val bytes = content.content().readableBytes().toLong()
        if (request.body.size + bytes > listener.limits.maxBodyBytes) return refuse(TOO_LARGE)
        val beyond = request.body.size + bytes - request.reserved
        if (beyond > 0) {
            if (!listener.bodies.take(beyond)) return refuse(UNAVAILABLE)
            request.reserved += beyond
        }
        request.body.add(content.content())
        if (content !is LastHttpContent) return
        arriving = null
        requests.add(request)
        beginWaiting()
        readMore()
    }

    /** Begins the requests that may run now; while the entry stops, none beside another. */
    private fun beginWaiting() {
        while (!closing) {
            val exchange = requests.begin(alone = listener.closesAfterAnswer) ?: return
            exchange.job = scope.launch { run(exchange) }
        }
    }

    private suspend fun run(exchange: PipelinedExchange) {
        val request = checkNotNull(exchange.request)
        try {
            exchange.answer = listener.serve(request.toCall(listener.names, callerOf(context)))
        } finally {
            listener.bodies.release(request.reserved)
            request.reserved = 0
        }
        deliver()
        beginWaiting()
        readMore()
    }

    /** Sends the answers whose turn it is. */
    private fun deliver() {
        while (context.channel().isActive) {
            val first = requests.takeAnswered() ?: return
            idleSince = ticker.now()
            if (write(first.request, checkNotNull(first.answer))) return end()
        }
    }

    /** Sends [answer]; true when it is the last one of this connection. */
    private fun write(request: IncomingRequest?, answer: Answer): Boolean {
        // Requests that have begun behind this one are answered too, also when the entry stops.
        val last = request?.keepAlive != true || (requests.idle && (answer.close || listener.closesAfterAnswer))
        val response = ResponseEncoding.of(answer)
        if (last) response.headers().set(HttpHeaderNames.CONNECTION, "close")
        if (request?.method == "HEAD") response.content().clear()
        context.writeAndFlush(response)
        return last
    }

    private fun end() {
        closing = true
        dropWaiting()
        requests.cancelBegun()
        lingerClose()
    }

    private fun readMore() {
        if (!closing) context.channel().config().isAutoRead = !requests.full
    }

    private fun refuse(status: Int) {
        closing = true
        dropWaiting()
        val retry = if (status == UNAVAILABLE) RETRY_LATER else null
        requests.refuse(Answer(status, null, "{\"status\":$status}".encodeToByteArray(), retry))
        deliver()
    }

    /**
     * Ends the sending side and discards what still arrives for a while. A socket that is closed with unread bytes
     * resets the connection, and the reset can destroy an answer that is still on its way.
     */
    private fun lingerClose() {
        val channel = context.channel()
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(
            ChannelFutureListener {
                (channel as? SocketChannel)?.shutdownOutput()
                channel.config().isAutoRead = true
                context.executor().schedule({ channel.close() }, LINGER.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            },
        )
    }

    private fun watchIdle() {
        val check = listener.limits.headerTimeout.inWholeMilliseconds
        context.executor().schedule(::checkIdle, check, TimeUnit.MILLISECONDS)
    }

    private fun checkIdle() {
        if (!context.channel().isActive) return
        val slow = arriving?.let { ticker.now() - it.arrived > listener.limits.idleTimeout } ?: false
        if (slow || (!busy && idleFor > listener.limits.idleTimeout)) close() else watchIdle()
    }

    private fun dropWaiting() {
        (requests.dropWaiting() + listOfNotNull(arriving)).forEach { listener.bodies.release(it.reserved) }
        arriving = null
    }

    private fun callerOf(ctx: ChannelHandlerContext): String =
        (ctx.channel().remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()

    private companion object {
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503
        val LINGER = 500.milliseconds
        val RETRY_LATER = 200.milliseconds
    }
}
