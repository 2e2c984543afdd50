package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.poplarwood.api.time.Ticker
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * One connection of a caller. Requests on it are answered one after the other, in their order.
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
    private val pending = ArrayDeque<PendingRequest>()
    private var arriving: PendingRequest? = null
    private var running: Job? = null
    private var closing = false
    private var idleSince = ticker.now()

    /** Whether a request is being answered or has begun to arrive. */
    val busy: Boolean get() = running != null || arriving != null || pending.isNotEmpty()

    /** Time since the last answer, or since the connection was opened. */
    val idleFor: Duration get() = ticker.now() - idleSince

    override fun channelActive(ctx: ChannelHandlerContext) {
        context = ctx
        listener.opened(this)
        watchIdle()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.closed(this)
        running?.cancel()
        dropBodies()
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
            val fault = begin(msg)
            if (fault != null) return refuse(fault)
        }
        if (msg is HttpContent) collect(msg)
    }

    /** Status of the refusal when the head of [request] is not acceptable. */
    private fun begin(request: HttpRequest): Int? {
        Framing.faultOf(request)?.let { return it }
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > listener.limits.maxBodyBytes) return TOO_LARGE
        if (!listener.bodies.take(length)) return UNAVAILABLE
        arriving = PendingRequest(request, length, ticker.now())
        if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(goOn())
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
        pending.addLast(request)
        if (pending.size > MAX_PIPELINED) context.channel().config().isAutoRead = false
        if (running == null) next()
    }

    private fun next() {
        val request = pending.removeFirstOrNull() ?: return
        running = scope.launch {
            try {
                val answer = listener.serve(request.toCall(listener.names, callerOf(context)))
                write(request, answer)
            } finally {
                listener.bodies.release(request.reserved)
                request.reserved = 0
                running = null
                idleSince = ticker.now()
            }
            if (!closing) {
                if (pending.size <= MAX_PIPELINED) context.channel().config().isAutoRead = true
                next()
            }
        }
    }

    private fun write(request: PendingRequest, answer: Answer) {
        val last = answer.close || !request.keepAlive || listener.closesAfterAnswer
        val response = encode(answer)
        if (last) {
            closing = true
            response.headers().set(HttpHeaderNames.CONNECTION, "close")
        }
        val isHead = request.method == "HEAD"
        if (isHead) response.content().clear()
        context.writeAndFlush(response)
        if (last) lingerClose()
    }

    private fun refuse(status: Int) {
        closing = true
        dropBodies()
        val retry = if (status == UNAVAILABLE) RETRY_LATER else null
        val response = encode(Answer(status, null, "{\"status\":$status}".encodeToByteArray(), retry))
        response.headers().set(HttpHeaderNames.CONNECTION, "close")
        val before = running
        if (before == null) {
            context.writeAndFlush(response)
            lingerClose()
        } else {
            before.invokeOnCompletion {
                context.writeAndFlush(response)
                lingerClose()
            }
        }
    }

    private fun encode(answer: Answer): FullHttpResponse {
        val content = Unpooled.wrappedBuffer(answer.body)
        val status = HttpResponseStatus.valueOf(answer.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        val own = answer.headers == null
        if (answer.headers != null) response.headers().set(answer.headers)
        if (own) response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        answer.retryAfter?.let {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, it.toString(DurationUnit.SECONDS, 2).dropLast(1))
        }
        if (answer.status != NO_CONTENT && answer.status != NOT_MODIFIED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        }
        return response
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

    private fun dropBodies() {
        (pending + listOfNotNull(arriving)).forEach { listener.bodies.release(it.reserved) }
        pending.clear()
        arriving = null
    }

    private fun callerOf(ctx: ChannelHandlerContext): String =
        (ctx.channel().remoteAddress() as? InetSocketAddress)?.address?.hostAddress.orEmpty()

    private fun goOn() = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.CONTINUE,
        Unpooled.EMPTY_BUFFER,
    )

    private companion object {
        const val TOO_LARGE = 413
        const val UNAVAILABLE = 503
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** Whole requests held behind the one being answered. */
        const val MAX_PIPELINED = 4
        val LINGER = 500.milliseconds
        val RETRY_LATER = 200.milliseconds
    }
}
