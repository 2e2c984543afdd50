package io.poplarwood.gateway.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.upstream.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection to an upstream; carries one request at a time. Used from its event loop only.
 *
 * An answer belongs to the request whose id it echoes; one with another id came late and is skipped. Bytes that no
 * request waits for end the connection.
 *
 * @param released told when the connection can carry another request
 * @param closed told when it cannot any more
 * @param memory for answers that are not complete yet
 */
internal class UpstreamLink(
    private val channel: Channel,
    private val names: HeaderNames,
    private val ticker: Ticker,
    private val released: (UpstreamLink) -> Unit,
    private val closed: (UpstreamLink) -> Unit,
    private val decoder: UpstreamResponseDecoder,
    private val memory: BodyMemory,
) : ChannelInboundHandlerAdapter(),
    PooledConnection {
    private var outbound: Outbound? = null
    private var done: ((AttemptResult) -> Unit)? = null
    private var head: HttpResponse? = null
    private var body = BodyBuffer()
    private var reserved = 0L
    private var skipped = 0L
    private var skipping = false
    private var broken = false

    /** An answer came that no request waited for; another may follow. */
    private var doubtful = false

    /** When the last answer ended. */
    override var idleSince: Duration = ticker.now()
        private set

    override var keepAlive: Duration = DEFAULT_KEEP_ALIVE
        private set

    override val open: Boolean get() = channel.isActive && !broken

    /** Sends [request] and tells [whenDone] the result once. */
    fun send(request: Outbound, whenDone: (AttemptResult) -> Unit) {
        check(done == null) { "the connection carries a request already" }
        outbound = request
        done = whenDone
        decoder.bodiless = request.request.method == "HEAD"
        channel.writeAndFlush(encode(request)).addListener { if (!it.isSuccess) channel.close() }
    }

    /** Gives up on the request and ends the connection, by which the upstream learns of it. */
    override fun abandon() {
        broken = true
        releaseMemory()
        done = null
        channel.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject && !broken) take(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        fail(if (head == null) LossCause.CONNECTION_LOST else LossCause.CUT_SHORT)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(if (head == null) LossCause.CONNECTION_LOST else LossCause.CUT_SHORT)
        closed(this)
    }

    private fun take(msg: HttpObject) {
        if (msg.decoderResult().isFailure || done == null) {
            fail(LossCause.GARBLED)
            return
        }
        if (msg is HttpResponse) begin(msg)
        if (msg is HttpContent) collect(msg)
    }

    private fun begin(response: HttpResponse) {
        val echoed = response.headers()[names.requestId]
        val expected = outbound?.request?.id
        skipping = response.status().code() < FINAL_STATUS || (echoed != null && expected != null && echoed != expected)
        if (skipping && response.status().code() >= FINAL_STATUS) doubtful = true
        head = response
        body = BodyBuffer()
        releaseMemory()
    }

    private fun collect(content: HttpContent) {
        val bytes = content.content().readableBytes().toLong()
        if (skipping) {
            skipped += bytes
            if (skipped > MAX_SKIPPED_BYTES) return fail(LossCause.GARBLED)
        } else {
            if (body.size + bytes > MAX_ANSWER_BYTES || !memory.take(bytes)) return fail(LossCause.GARBLED)
            reserved += bytes
            body.add(content.content())
        }
        if (content !is LastHttpContent) return
        if (skipping) {
            head = null
            skipping = false
            return
        }
        finish(checkNotNull(head))
    }

    private fun finish(response: HttpResponse) {
        val result = resultOf(response)
        val keep = keeps(response) && !doubtful && result !is AttemptResult.Lost
        val tell = done
        done = null
        outbound = null
        head = null
        skipped = 0
        releaseMemory()
        idleSince = ticker.now()
        if (keep) {
            released(this)
        } else {
            broken = true
            channel.close()
        }
        tell?.invoke(result)
    }

    private fun resultOf(response: HttpResponse): AttemptResult {
        val headers = response.headers()
        val status = response.status().code()
        val load = LoadReport.parse(headers[names.load])
        val notice = names.noticeOf(status, headers)
        if (status == MISDIRECTED) return AttemptResult.NotExecuted(NotExecutedCause.OTHER_UPSTREAM, load, notice)
        if (headers.contains(names.notExecuted) && status >= FIRST_ERROR) {
            return AttemptResult.NotExecuted(NotExecutedCause.SHED, load, notice)
        }
        val own = headers[names.requestId] == outbound?.request?.id
        val genuine = headers.contains(names.signature) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING)
        if (!own || (status in SUCCESS && !genuine)) return AttemptResult.Lost(LossCause.GARBLED)
        headers.remove(names.leaving)
        return AttemptResult.Answered(status, headers, body.bytes(), load, notice)
    }

    private fun keeps(response: HttpResponse): Boolean {
        val seconds = response.headers()[KEEP_ALIVE]?.let(::timeoutOf)
        if (seconds != null) keepAlive = seconds
        val framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        return HttpUtil.isKeepAlive(response) && framed
    }

    private fun timeoutOf(header: String): Duration? =
        header.split(',').map { it.trim() }.firstOrNull { it.startsWith("timeout=") }
            ?.substringAfter('=')?.toIntOrNull()?.seconds

    private fun releaseMemory() {
        memory.release(reserved)
        reserved = 0
    }

    private fun fail(cause: LossCause) {
        broken = true
        releaseMemory()
        val tell = done
        done = null
        channel.close()
        tell?.invoke(AttemptResult.Lost(cause))
    }

    private fun encode(outbound: Outbound): DefaultFullHttpRequest {
        val request = outbound.request
        val content = Unpooled.wrappedBuffer(request.body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod(request.method), request.target, content)
        val headers = message.headers()
        headers.set(request.headers)
        headers.set(HttpHeaderNames.HOST, request.host)
        headers.set(names.deadlineMs, outbound.left.inWholeMilliseconds.coerceAtLeast(1))
        headers.set(names.expectUpstream, outbound.expect)
        val bodiless = request.body.isEmpty() && request.method in BODILESS
        if (bodiless) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        } else {
            HttpUtil.setContentLength(message, content.readableBytes().toLong())
        }
        return message
    }

    private companion object {
        const val KEEP_ALIVE = "keep-alive"
        const val FINAL_STATUS = 200
        const val FIRST_ERROR = 400
        const val MISDIRECTED = 421
        val SUCCESS = 200..299
        val BODILESS = setOf("GET", "HEAD", "DELETE", "OPTIONS")

        /** Where the upstream does not say: shorter than any usual setting. */
        val DEFAULT_KEEP_ALIVE = 4.seconds

        /** Late answers and interim ones before the awaited one, beyond which the connection is of no use. */
        const val MAX_SKIPPED_BYTES = 1024 * 1024

        /** An answer is held whole until it is known to be complete. */
        const val MAX_ANSWER_BYTES = 32 * 1024 * 1024
    }
}
