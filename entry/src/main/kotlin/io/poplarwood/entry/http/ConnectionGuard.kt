package io.poplarwood.entry.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.poplarwood.api.id.RequestId
import io.poplarwood.api.outcome.Refusal
import io.poplarwood.api.outcome.RefusalReason
import io.poplarwood.entry.forward.HopHeaders
import io.poplarwood.entry.metrics.EntryMetrics
import io.poplarwood.entry.settings.HttpSettings
import java.nio.channels.ClosedChannelException
import java.util.concurrent.TimeUnit

/**
 * Channel handler between the HTTP codec and the server engine on each caller's connection.
 *
 * The engine treats malformed framing and truncated bodies as a normal end of the body, and ends a failed response with
 * a final chunk. This handler refuses malformed framing before the request runs, records which bodies arrived in full,
 * and discards all output after a truncated response.
 */
internal class ConnectionGuard(
    private val settings: HttpSettings,
    private val connections: CallerConnections,
    private val inboundBytes: InboundByteHandler,
    private val metrics: EntryMetrics,
    private val requestIds: () -> RequestId,
) : ChannelDuplexHandler() {
    private lateinit var state: CallerConnection
    private var admitted = false
    private var closing = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        state = CallerConnection(ctx.channel())
        ctx.channel().attr(CallerConnection.KEY).set(state)
        inboundBytes.bindTo(state)
        if (ctx.channel().isActive) admit(ctx)
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        admit(ctx)
        ctx.fireChannelActive()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        connections.remove(ctx.channel())
        state.cancelUnanswered()
        ctx.fireChannelInactive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is HttpObject) {
            ctx.fireChannelRead(msg)
            return
        }
        if (closing || state.inputRefusal != null) {
            ReferenceCountUtil.release(msg)
            return
        }
        val refusal = Framing.refusalFor(msg, settings)
        when {
            refusal != null -> {
                ReferenceCountUtil.release(msg)
                refuseInput(ctx, refusal)
            }

            else -> {
                if (msg is HttpRequest) startRequest(msg)
                if (msg is LastHttpContent) state.lastComplete = state.lastStarted
                ctx.fireChannelRead(msg)
            }
        }
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
        if (evt !== CallerConnection.SendContinue) {
            ctx.fireUserEventTriggered(evt)
            return
        }
        val continueResponse =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
        ctx.writeAndFlush(continueResponse)
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (state.aborted) {
            ReferenceCountUtil.release(msg)
            promise.tryFailure(ClosedChannelException())
            return
        }
        if (msg is HttpResponse && isFinal(msg) && mustClose()) {
            msg.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            closing = true
        }
        val endsResponse = msg is LastHttpContent && !(msg is FullHttpResponse && !isFinal(msg))
        ctx.write(msg, promise)
        if (endsResponse) responseWritten(ctx)
    }

    private fun startRequest(request: HttpRequest) {
        state.hasPartialHead = false
        Framing.useOriginForm(request)
        state.lastStarted++
        request.headers().set(HopHeaders.EXCHANGE_HEADER, state.lastStarted)
    }

    private fun responseWritten(ctx: ChannelHandlerContext) {
        state.lastAnswered++
        state.idleSinceNanos = System.nanoTime()
        val inputRefusal = state.inputRefusal
        when {
            closing -> lingerClose(ctx)
            inputRefusal != null && state.lastAnswered >= state.lastStarted -> refuse(ctx, inputRefusal)
        }
    }

    private fun isFinal(response: HttpResponse) = response.status().code() >= FINAL_STATUS

    /**
     * True when the connection cannot carry another request after the response being written: the entry is shutting
     * down, or the request's body has not arrived in full. Pipelined requests already accepted are processed first.
     */
    private fun mustClose(): Boolean =
        state.lastStarted <= state.lastAnswered + 1 &&
            (connections.draining || state.lastComplete <= state.lastAnswered)

    private fun admit(ctx: ChannelHandlerContext) {
        if (admitted) return
        admitted = true
        state.idleSinceNanos = System.nanoTime()
        if (connections.add(ctx.channel())) {
            scheduleIdleCheck(ctx, settings.callerIdleMs)
        } else {
            refuseInput(ctx, Refusal(RefusalReason.CALLER_CONNECTIONS))
        }
    }

    /** Discards further input and sends [refusal] once all earlier responses are written. */
    private fun refuseInput(ctx: ChannelHandlerContext, refusal: Refusal) {
        state.inputRefusal = refusal
        when {
            // Ends the body that the engine is reading; the request's handler then finds the body incomplete.
            state.lastComplete < state.lastStarted -> ctx.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
            state.lastAnswered >= state.lastStarted -> refuse(ctx, refusal)
        }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        if (closing) return
        closing = true
        metrics.countRefusal(refusal.reason)
        val refusalResponse = RefusalResponse(refusal, requestIds())
        val status = HttpResponseStatus.valueOf(refusalResponse.status)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(refusalResponse.body))
        for ((name, value) in refusalResponse.headers) response.headers().set(name, value)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, refusalResponse.body.size)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        ctx.writeAndFlush(response)
        lingerClose(ctx)
    }

    /**
     * Shuts down output, discards input for [LINGER_MS] and then closes the connection. Closing a socket with unread
     * input sends a reset, which can discard a response that the caller has not read yet.
     */
    private fun lingerClose(ctx: ChannelHandlerContext) {
        val channel = ctx.channel()
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            (channel as? SocketChannel)?.shutdownOutput()
            inboundBytes.discardInput()
            channel.config().isAutoRead = true
            ctx.executor().schedule({ channel.close() }, LINGER_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun scheduleIdleCheck(ctx: ChannelHandlerContext, afterMs: Long) {
        ctx.executor().schedule({ checkIdle(ctx) }, afterMs, TimeUnit.MILLISECONDS)
    }

    private fun checkIdle(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isActive || closing) return
        val idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - state.idleSinceNanos)
        when {
            state.lastAnswered < state.lastStarted -> scheduleIdleCheck(ctx, settings.callerIdleMs)
            idleMs < settings.callerIdleMs -> scheduleIdleCheck(ctx, settings.callerIdleMs - idleMs)
            state.hasPartialHead -> refuseInput(ctx, Refusal(RefusalReason.SLOW_CALLER))
            else -> ctx.close()
        }
    }

    private companion object {
        const val FINAL_STATUS = 200
        const val LINGER_MS = 500L
    }
}
