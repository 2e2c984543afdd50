package io.poplarwood.gateway.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import kotlinx.coroutines.Job
import kotlin.time.Duration

/**
 * Collects one reply as it arrives.
 *
 * @param maxBytes a longer body is not collected
 * @param onBody called with the number of body bytes that the reply announces or that have arrived, when the head
 *   arrives and with each piece of the body
 */
internal class ReplyCollector(private val maxBytes: Int, private val onBody: (Long) -> Unit) {
    private val pieces = ArrayList<ByteArray>()
    private var size = 0
    private var announcedBytes = 0L

    private var head: HttpResponse? = null
    private val arrived = Job()

    /** Completes when the head has arrived. */
    val headArrived: Job get() = arrived

    /** Number of heads and pieces of the body that have arrived. */
    var arrivals = 0
        private set

    /** Adds the head; returns false if it announces a body that is too long. */
    fun begin(response: HttpResponse, contentLength: Long): Boolean {
        head = response
        arrived.complete()
        arrivals++
        announcedBytes = contentLength
        if (contentLength > maxBytes) return false
        onBody(contentLength)
        return true
    }

    /** Adds a piece of the body; returns false if the body is too long. */
    fun add(content: HttpContent): Boolean {
        val bytes = content.content().readableBytes()
        arrivals++
        if (bytes > maxBytes - size) return false
        if (bytes == 0) return true
        pieces += ByteArray(bytes).also { content.content().readBytes(it) }
        size += bytes
        onBody(maxOf(announcedBytes, size.toLong()))
        return true
    }

    /**
     * The reply on a connection opened at [connectedAt], once the last piece was added; null without a head.
     *
     * @param earlierCallSentAt when the call before this one was sent on the connection; null if there was none
     */
    fun reply(connectedAt: Duration, earlierCallSentAt: Duration?): HttpReply? =
        head?.let { HttpReply(it.status().code(), joined(), it.headers(), connectedAt, earlierCallSentAt) }

    private fun joined(): ByteArray {
        val body = ByteArray(size)
        var offset = 0
        for (piece in pieces) {
            piece.copyInto(body, offset)
            offset += piece.size
        }
        return body
    }
}
