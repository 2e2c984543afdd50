package io.poplarwood.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.poplarwood.api.time.Ticker
import io.poplarwood.gateway.upstream.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection to an upstream; carries one request at a time. Must be used from its event loop only.
 *
 * A response belongs to the request whose id it echoes; one with another id is late and is skipped. That tells two
 * requests apart only if their ids differ, so a connection carries each id once. Upstreams may reject requests without
 * echoing the id; the first such response on a connection is that to the request in flight, and the connection is
 * closed after it, since a copy could not be told from a second one. Bytes that are received while no request is in
 * flight close the connection, also if they are the beginning of a response only.
 *
 * A response without a length is whole only if the upstream closed its side of the connection behind it. The decoder
 * ends such a response also when the connection is reset or closed on this side, so [channel] must allow half closure:
 * it is then still active when the end was sent by the upstream.
 *
 * @param onIdle called when the connection can carry another request
 * @param onClosed called when the connection has been closed
 * @param memory for responses that are not complete yet
 * @param number identifies the connection among those of its pool
 * @param onAnswer called with each answer, once it is known to which request it belongs
 */
internal class UpstreamConnection(
    private val channel: Channel,
    private val names: HeaderNames,
    private val ticker: Ticker,
    private val onIdle: (UpstreamConnection) -> Unit,
    private val onClosed: (UpstreamConnection) -> Unit,
    private val decoder: UpstreamResponseDecoder,
    private val memory: BodyMemoryBudget,
    private val number: Int = 0,
    private val onAnswer: (AnswerMatch) -> Unit = {},
) : ChannelInboundHandlerAdapter(),
    PooledConnection {
    private var outbound: UpstreamRequest? = null
    private var pendingResult: ((AttemptResult) -> Unit)? = null
    private var responseHead: HttpResponse? = null
    private var body = BodyBuffer()
    private var reservedBytes = 0L
    private var skippedBytes = 0L
    private var skippingResponse = false
    private var broken = false

    /** Whether a late response was skipped; more of them may follow, so the connection is not reused. */
    private var lateResponseSeen = false

    private val carriedIds = CarriedIds()
    private var carriedRequests = 0

    /** When the upstream accepted this connection. */
    var openedAt: Duration = Duration.INFINITE

    override var idleSince: Duration = ticker.now()
        private set

    override var keepAlive: Duration = DEFAULT_KEEP_ALIVE
        private set

    override val open: Boolean get() = channel.isActive && !broken && !decoder.hasBegunResponse

    /** Whether the connection has carried no request. */
    val unused: Boolean get() = carriedRequests == 0

    /** The use of this connection by the request that is sent next. */
    fun nextUse(): ConnectionUse = ConnectionUse(number, carriedRequests + 1, openedAt)

    /** Whether the connection has carried a request with the id of [request]. */
    fun hasCarriedIdOf(request: UpstreamRequest): Boolean = request.request.id?.let { it in carriedIds } ?: false

    /** Sends [request] and calls [onResult] once with the result, or never after [close]. */
    fun send(request: UpstreamRequest, onResult: (AttemptResult) -> Unit) {
        check(pendingResult == null) { "connection already carries a request" }
        request.request.id?.let(carriedIds::add)
        carriedRequests++
        outbound = request
        pendingResult = onResult
        decoder.answersHead = request.request.method == "HEAD"
        val message = UpstreamRequestEncoding.encode(request, names, ticker.now())
        channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
    }

    /** Closes the connection without reporting a result if [request] is in flight on it. */
    fun cancel(request: UpstreamRequest) {
        if (outbound === request) close()
    }

    /**
     * Cancels the request in flight, if any, without reporting a result. Closing the connection tells the upstream of
     * the cancellation.
     */
    override fun close() {
        broken = true
        releaseMemory()
        pendingResult = null
        channel.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            if (msg is HttpObject && !broken) handle(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    /** Bytes behind a response would be read as the beginning of the response to the next request. */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (pendingResult == null && !broken && decoder.hasBegunResponse) fail(LossCause.GARBLED)
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = failEnded()

    /** The upstream has closed its sending side; what it sent before has been read. */
    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event == ChannelInputShutdownEvent.INSTANCE) failEnded()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        failEnded()
        onClosed(this)
    }

    private fun handle(msg: HttpObject) {
        if (msg.decoderResult().isFailure || pendingResult == null) {
            if (msg is HttpResponse && pendingResult == null) onAnswer(AnswerMatch.IDLE)
            fail(LossCause.GARBLED)
            return
        }
        if (msg is HttpResponse) {
            if (msg.holdsStatusLine) return fail(LossCause.GARBLED)
            startResponse(msg)
        }
        if (msg is HttpContent) collect(msg)
    }

    private fun startResponse(response: HttpResponse) {
        val echoed = response.headers()[names.requestId]
        val expected = outbound?.request?.id
        skippingResponse =
            response.status().code() < FIRST_FINAL_STATUS || (echoed != null && expected != null && echoed != expected)
        if (response.status().code() >= FIRST_FINAL_STATUS) onAnswer(AnswerMatch.of(echoed, skippingResponse))
        if (skippingResponse && response.status().code() >= FIRST_FINAL_STATUS) lateResponseSeen = true
        responseHead = response
        body = BodyBuffer()
        releaseMemory()
    }

    private fun collect(content: HttpContent) {
        val problem = if (skippingResponse) skip(content.content()) else append(content.content())
        if (problem != null) return fail(problem)
        if (content !is LastHttpContent) return
        val response = checkNotNull(responseHead)
        if (response.endsWithConnection && !channel.isActive) return failEnded()
        if (skippingResponse) {
            responseHead = null
            skippingResponse = false
            return
        }
        complete(response)
    }

    /** Counts a piece of a late response; returns why the connection is given up, or null. */
    private fun skip(piece: ByteBuf): LossCause? {
        skippedBytes += piece.readableBytes()
        return if (skippedBytes > MAX_SKIPPED_BYTES) LossCause.GARBLED else null
    }

    /** Adds a piece of the body; returns why the connection is given up, or null. */
    private fun append(piece: ByteBuf): LossCause? {
        val bytes = piece.readableBytes().toLong()
        if (body.size + bytes > MAX_RESPONSE_BYTES) return LossCause.GARBLED
        if (!memory.tryReserve(bytes)) return LossCause.NO_MEMORY
        reservedBytes += bytes
        body.append(piece)
        return null
    }

    private fun complete(response: HttpResponse) {
        val result = resultOf(response)
        val reusable = allowsReuse(response) && !lateResponseSeen && result !is AttemptResult.Lost
        val callback = pendingResult
        pendingResult = null
        outbound = null
        responseHead = null
        skippedBytes = 0
        releaseMemory()
        idleSince = ticker.now()
        if (reusable) {
            onIdle(this)
        } else {
            broken = true
            channel.close()
        }
        callback?.invoke(result)
    }

    private fun resultOf(response: HttpResponse): AttemptResult {
        val headers = response.headers()
        val status = response.status().code()
        val load = LoadReport.parse(headers[names.load])
        val notice = names.parseNotice(status, headers)
        val named = headers.contains(names.requestId)
        if (status ==
            MISDIRECTED
        ) {
            return AttemptResult.NotExecuted(NotExecutedCause.OTHER_UPSTREAM, load, notice, named)
        }
        if (headers.contains(names.notExecuted) && status >= FIRST_ERROR_STATUS) {
            return AttemptResult.NotExecuted(NotExecutedCause.SHED, load, notice, named)
        }
        val matchesRequest = headers[names.requestId] == outbound?.request?.id
        val authentic = headers.contains(names.signature) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING)
        if (!matchesRequest || (status in SUCCESS_STATUSES && !authentic)) return AttemptResult.Lost(LossCause.GARBLED)
        headers.remove(names.draining)
        headers.remove(names.rateLimit)
        return AttemptResult.Answered(status, headers, body.bytes(), load, notice)
    }

    private fun allowsReuse(response: HttpResponse): Boolean {
        response.keepAliveTimeout?.let { keepAlive = it }
        val named = response.headers().contains(names.requestId)
        val sharable = outbound?.needsOwnConnection == false
        return sharable && named && HttpUtil.isKeepAlive(response) && !response.endsWithConnection &&
            carriedIds.size < MAX_CARRIED_IDS
    }

    private fun releaseMemory() {
        memory.release(reservedBytes)
        reservedBytes = 0
    }

    private fun failEnded() = fail(if (responseHead == null) LossCause.CONNECTION_LOST else LossCause.CUT_SHORT)

    private fun fail(cause: LossCause) {
        broken = true
        releaseMemory()
        val callback = pendingResult
        pendingResult = null
        channel.close()
        callback?.invoke(AttemptResult.Lost(cause))
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val FIRST_ERROR_STATUS = 400
        const val MISDIRECTED = 421
        val SUCCESS_STATUSES = 200..299

        /** Used until the upstream announces a keep-alive time; shorter than usual server settings. */
        val DEFAULT_KEEP_ALIVE = 4.seconds

        /** Bytes of late and interim responses before the expected one, beyond which the connection is given up. */
        const val MAX_SKIPPED_BYTES = 1024 * 1024

        /** Requests after which a connection is replaced, since their ids take memory. */
        const val MAX_CARRIED_IDS = 512

        /** Limits memory, since a response is buffered until it is complete. */
        const val MAX_RESPONSE_BYTES = 32 * 1024 * 1024
    }
}
