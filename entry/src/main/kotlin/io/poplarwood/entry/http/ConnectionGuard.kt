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
 * Stands between the HTTP codec and the engine on each caller's connection.
 *
 * The engine takes bad framing and cut bodies for clean ends and ends a failed answer with a final chunk. The guard
 * refuses bad framing before anything runs, records which bodies arrived whole, and lets nothing follow a cut answer.
 */
internal class ConnectionGuard(
    private val settings: HttpSettings,
    private val connections: CallerConnections,
    private val bytes: InboundByteHandler,
    private val metrics: EntryMetrics,
    private val requestIds: () -> RequestId,
) : ChannelDuplexHandler() {
    private lateinit var state: CallerConnection
    private var admitted = false
    private var closing = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        state = CallerConnection(ctx.channel())
        ctx.channel().attr(CallerConnection.KEY).set(state)
        bytes.watch(state)
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
        if (closing || state.broken != null) {
            ReferenceCountUtil.release(msg)
            return
        }
        val fault = Framing.faultOf(msg, settings)
        when {
            fault != null -> {
                ReferenceCountUtil.release(msg)
                breakOff(ctx, fault)
            }

            else -> {
                if (msg is HttpRequest) begin(msg)
                if (msg is LastHttpContent) state.complete = state.started
                ctx.fireChannelRead(msg)
            }
        }
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, evt: Any) {
        if (evt !== CallerConnection.SendContinue) {
            ctx.fireUserEventTriggered(evt)
            return
        }
        val go = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
        ctx.writeAndFlush(go)
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
        val ends = msg is LastHttpContent && !(msg is FullHttpResponse && !isFinal(msg))
        ctx.write(msg, promise)
        if (ends) ended(ctx)
    }

    private fun begin(request: HttpRequest) {
        state.partialHead = false
        Framing.useOriginForm(request)
        state.started++
        request.headers().set(HopHeaders.EXCHANGE, state.started)
    }

    private fun ended(ctx: ChannelHandlerContext) {
        state.answered++
        state.idleSinceNanos = System.nanoTime()
        val broken = state.broken
        when {
            closing -> lingerClose(ctx)
            broken != null && state.answered >= state.started -> refuse(ctx, broken)
        }
    }

    private fun isFinal(response: HttpResponse) = response.status().code() >= FINAL_STATUS

    /**
     * True when the connection cannot carry another request after the answer being written: a planned stop runs, or
     * the request's body has not arrived to its end. Requests already taken in behind it are answered first.
     */
    private fun mustClose(): Boolean =
        state.started <= state.answered + 1 && (connections.draining || state.complete <= state.answered)

    private fun admit(ctx: ChannelHandlerContext) {
        if (admitted) return
        admitted = true
        state.idleSinceNanos = System.nanoTime()
        if (connections.add(ctx.channel())) {
            watchIdle(ctx, settings.callerIdleMs)
        } else {
            breakOff(ctx, Refusal(RefusalReason.CALLER_CONNECTIONS))
        }
    }

    /** Takes nothing more from the connection; answers [refusal] as soon as earlier answers are written. */
    private fun breakOff(ctx: ChannelHandlerContext, refusal: Refusal) {
        state.broken = refusal
        when {
            // Ends the body that the engine is reading; its handler then finds the request incomplete.
            state.complete < state.started -> ctx.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
            state.answered >= state.started -> refuse(ctx, refusal)
        }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        if (closing) return
        closing = true
        metrics.refused(refusal.reason)
        val answer = RefusalResponse(refusal, requestIds())
        val status = HttpResponseStatus.valueOf(answer.status)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(answer.body))
        for ((name, value) in answer.headers) response.headers().set(name, value)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        ctx.writeAndFlush(response)
        lingerClose(ctx)
    }

    /**
     * Ends the sending side and discards what still arrives for a while. A socket that is closed with unread bytes
     * resets the connection, and the reset can destroy an answer that is still on its way.
     */
    private fun lingerClose(ctx: ChannelHandlerContext) {
        val channel = ctx.channel()
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener {
            (channel as? SocketChannel)?.shutdownOutput()
            bytes.discard()
            channel.config().isAutoRead = true
            ctx.executor().schedule({ channel.close() }, LINGER_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun watchIdle(ctx: ChannelHandlerContext, afterMs: Long) {
        ctx.executor().schedule({ checkIdle(ctx) }, afterMs, TimeUnit.MILLISECONDS)
    }

    private fun checkIdle(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isActive || closing) return
        val idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - state.idleSinceNanos)
        when {
            state.answered < state.started -> watchIdle(ctx, settings.callerIdleMs)
            idleMs < settings.callerIdleMs -> watchIdle(ctx, settings.callerIdleMs - idleMs)
            state.partialHead -> breakOff(ctx, Refusal(RefusalReason.SLOW_CALLER))
            else -> ctx.close()
        }
    }

    private companion object {
        const val FINAL_STATUS = 200
        const val LINGER_MS = 500L
    }
}
